#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <cstdint>
#include <memory>

namespace pistachiofall {

/// One instance of the system: all roles in one process.
class Instance
{
public:
    /// Opens the listeners. Unavailable when an address is in use.
    static Result<std::unique_ptr<Instance>> create(const Settings &settings);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Serves until SIGTERM or SIGINT, then stops gracefully: readiness goes down, the balancer
    /// gets time, places in the shard table are given away, requests in flight finish. A second
    /// signal ends at once.
    void run();

private:
    struct Data;
    explicit Instance(std::unique_ptr<Data> data);
    std::unique_ptr<Data> m_data;
};

} // namespace pistachiofall
