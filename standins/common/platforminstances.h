#pragma once

#include "common/labelselector.h"
#include "common/platforminstance.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace pistachiofall::standins {

/// The lagging instance list. Each instance is one EndpointSlice of the Service "pistachiofall",
/// with its own ports. The version of the list is the revision of the newest change that is
/// visible. Safe to use from several threads.
class PlatformInstances
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Changes become visible the lag after they were made.
    explicit PlatformInstances(std::chrono::milliseconds lag);

    void set(const PlatformInstance &instance, std::uint64_t revision, TimePoint now);
    void remove(const std::string &name, std::uint64_t revision, TimePoint now);

    /// A frozen list keeps its content and version; changes that were due meanwhile become visible
    /// at its end.
    void setFrozen(bool isFrozen, TimePoint now);

    /// The visible list as an EndpointSliceList.
    std::string renderList(const std::string &nameSpace, const LabelSelector &selector,
                           TimePoint now);

private:
    struct Change
    {
        TimePoint visibleFrom;
        std::uint64_t revision = 0;
        std::string name;
        /// Nothing when the instance was removed.
        std::optional<PlatformInstance> instance;
    };

    struct VisibleInstance
    {
        PlatformInstance instance;
        std::uint64_t revision = 0;
    };

    void applyDue(TimePoint now);

    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    std::deque<Change> m_pending;
    std::map<std::string, VisibleInstance> m_visible;
    std::uint64_t m_revision = 1;
    bool m_isFrozen = false;
};

} // namespace pistachiofall::standins
