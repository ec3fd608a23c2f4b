#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "metrics/metricsregistry.h"
#include "serving/servingprotocol.h"
#include "settings/fleetsettings.h"
#include "store/objectspace.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall {

/// One instance of a fleet whose configuration and endpoints are stored as objects in a store. All
/// its components run in one process, on one thread.
class ServingInstance
{
public:
    /// Creates the client of the store.
    using SpaceFactory = std::function<Result<std::shared_ptr<ObjectSpace>>(
            const boost::asio::any_io_executor &executor, const StoreSettings &settings,
            const Clock &clock, MetricsRegistry &metrics)>;

    /// Creates the instance and opens its listeners. Unavailable if an address is in use. The
    /// settings file is reloaded on SIGHUP.
    static Result<std::unique_ptr<ServingInstance>>
    create(const FleetSettings &settings, std::string settingsFile,
           std::shared_ptr<const ServingProtocol> protocol, const SpaceFactory &spaceFactory);
    ~ServingInstance();
    ServingInstance(const ServingInstance &) = delete;
    ServingInstance &operator=(const ServingInstance &) = delete;

    /// Serves until SIGTERM or SIGINT, then shuts down gracefully within the grace period of the
    /// settings. A second signal stops at once.
    void run();

private:
    struct Data;
    explicit ServingInstance(std::unique_ptr<Data> data);
    std::unique_ptr<Data> m_data;
};

} // namespace pistachiofall
