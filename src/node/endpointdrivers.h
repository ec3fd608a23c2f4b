#pragma once

#include "base/clock.h"
#include "metrics/metricsregistry.h"
#include "node/coordination.h"
#include "node/engineclient.h"
#include "node/rolloutcoordinator.h"
#include "node/slotservice.h"
#include "rollout/endpointdriver.h"
#include "wire/peerclient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Drives the engines of the endpoints that this instance owns to the versions that the rules name.
/// Thread safe.
class EndpointDrivers
{
public:
    /// The callback is called when isInService() of an endpoint has changed.
    EndpointDrivers(boost::asio::any_io_executor executor, const Clock &clock,
                    MetricsRegistry &metrics, Coordination &coordination, SlotService &slots,
                    PeerClient &peers, EngineClient engines, RolloutCoordinator &coordinator,
                    RolloutCoordinator::EpochOf epochOf, std::function<void()> serviceChanged);

    /// Starts the loops, which run until the executor stops.
    void start();

    /// False while the endpoint is drained or loads a version.
    bool isInService(const std::string &endpoint) const;

    static constexpr std::chrono::milliseconds TickInterval{250};
    /// How often the state of an engine is read that is not being changed. An instance owns about
    /// 13 endpoints, and each read sends some 120 B; one a second would take most of the 2 KB/s
    /// that an instance may send for control.
    static constexpr std::chrono::milliseconds ReadInterval{10000};

private:
    /// What decides which endpoints this instance drives.
    struct OwnershipView
    {
        std::uint64_t rulesVersion = 0;
        std::uint64_t tableEpoch = 0;
        bool isIsolated = true;

        bool operator==(const OwnershipView &) const = default;
    };

    struct Driven
    {
        std::uint64_t fencing = 0;
        EndpointDriver driver;
        SteadyTime nextRead;
        bool isReading = false;
        /// Empty before the first reading, when nothing is reported.
        std::optional<EndpointPhase> phase;
        EngineState state;
    };

    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> reportAll();
    boost::asio::awaitable<void> drive(EndpointRule endpoint, std::string version,
                                       std::uint64_t fencing);
    boost::asio::awaitable<void> sendLoad(EndpointRule endpoint, std::string version,
                                          std::uint64_t fencing);
    boost::asio::awaitable<void> sendReport(wire::RolloutReportT report);
    boost::asio::awaitable<wire::RolloutReplyT> ask(const wire::RolloutReportT &report);
    void refresh(SteadyTime now);
    void startReadings(SteadyTime now);
    std::map<std::string, wire::RolloutReportT> takeReports();
    void permit(const wire::RolloutReportT &report, const wire::RolloutReplyT &reply);

    const boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    Coordination &m_coordination;
    SlotService &m_slots;
    PeerClient &m_peers;
    EngineClient m_engines;
    RolloutCoordinator &m_coordinator;
    const RolloutCoordinator::EpochOf m_epochOf;
    const std::function<void()> m_serviceChanged;
    Counter &m_accepted;
    Counter &m_oldNumber;
    Counter &m_unknown;

    mutable std::mutex m_mutex;
    // Only tick() uses it.
    OwnershipView m_refreshed;
    std::map<std::string, Driven> m_driven;
    std::set<std::string> m_reporting;
    std::uint64_t m_sequence = 0;
};

} // namespace pistachiofall
