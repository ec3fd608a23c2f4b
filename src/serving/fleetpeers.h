#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "base/socketaddress.h"
#include "coord/coordtimes.h"
#include "metrics/metricsregistry.h"
#include "wire/peerclient.h"
#include "wire/peerhandler.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall {

/// One instance of the fleet as others address it.
struct FleetPeer
{
    std::string name;
    SocketAddress address;
    std::string failureDomain;
    /// Whether callers connect to it, so that it sends requests of its own.
    bool takesCallers = false;
};

/// Tells the other instances what this one uses, and hears the same of them: on each change, but
/// not more often than the least interval, and at rest as a heartbeat. Who is there is known from
/// the store, from the seeds and from what peers say of each other, so the fleet also finds itself
/// while the store is away. It lives on one thread.
class FleetPeers
{
public:
    struct Callbacks
    {
        /// Fills what this instance uses into a report.
        std::function<void(wire::FleetReportT &report)> fillReport;
        /// A peer reported. The first report after another start of the peer says so.
        std::function<void(const std::string &peer, const wire::FleetReportT &report,
                           bool isRestarted)>
                reported;
        /// A peer was not heard for some time, or its process refuses connections.
        std::function<void(const std::string &peer, bool hasStopped)> lost;
        /// The set of known instances has changed.
        std::function<void()> membersChanged;
        /// A peer has a configuration of this version.
        std::function<void(const std::string &peer, std::uint64_t version)> configVersionSeen;
    };

    FleetPeers(const boost::asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
               MetricsRegistry &metrics, FleetPeer self, std::uint64_t incarnation);

    void setCallbacks(Callbacks callbacks);
    /// Addresses where instances may be, whose names are not known.
    void start(std::vector<SocketAddress> seeds);

    void addMember(const FleetPeer &peer);
    /// Removes an instance that was taken out of the fleet.
    void removeMember(const std::string &name);

    /// What this instance uses has changed.
    void noteUsageChange();
    /// This instance is about to stop; its peers take over.
    void setLeaving();
    bool isLeaving() const { return m_isLeaving; }

    /// Answers the report of a peer.
    wire::FleetReportReplyT handleReport(const wire::FleetReportT &report);

    const FleetPeer &self() const { return m_self; }
    std::uint64_t incarnation() const { return m_incarnation; }
    /// The names of all known instances, this one included, and of those that take callers.
    std::vector<std::string> memberNames() const;
    std::vector<std::string> callerInstances() const;
    /// Those that are heard, this one included.
    std::vector<std::string> aliveNames() const;
    bool isAlive(const std::string &name) const;
    /// The start of the peer's process that was heard last, and how long ago the store answered it.
    std::optional<std::uint64_t> incarnationOf(const std::string &name) const;
    std::chrono::milliseconds storeAgeOf(const std::string &name) const;
    /// Whether a heard peer takes part for longer than the time.
    bool hasPeerWithUptimeAbove(std::chrono::milliseconds uptime) const;
    std::optional<SocketAddress> addressOf(const std::string &name) const;

    PeerClient &client() { return m_client; }

private:
    struct Member;

    boost::asio::awaitable<void> reportTo(std::shared_ptr<Member> member);
    boost::asio::awaitable<void> contactSeed(SocketAddress seed);
    boost::asio::awaitable<void> detectLostPeers();
    wire::FleetReportT makeReport();
    void handleReply(const wire::FleetReportReplyT &reply, const std::string &peer);
    std::shared_ptr<Member> addOrFindMember(const wire::FleetMemberT &member);
    std::chrono::milliseconds reportInterval(const Member &member) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    MetricsRegistry &m_metrics;
    FleetPeer m_self;
    std::uint64_t m_incarnation;
    SteadyTime m_startTime;
    Callbacks m_callbacks;
    PeerClient m_client;
    std::map<std::string, std::shared_ptr<Member>> m_members;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_usageVersion = 0;
    bool m_isLeaving = false;
    bool m_hasStarted = false;
};

} // namespace pistachiofall
