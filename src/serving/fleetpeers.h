#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "base/socketaddress.h"
#include "coord/coordtimes.h"
#include "fleet/placement.h"
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

/// The name, address and role of an instance of the fleet.
struct FleetPeer
{
    std::string name;
    SocketAddress address;
    std::string failureDomain;
    /// Whether callers connect to it. Only such an instance forwards online requests to endpoints.
    bool takesCallers = false;
};

/// Exchanges usage reports with the other instances. A report is sent on each change of the usage,
/// but not more often than the report interval of the peer, and as a heartbeat when nothing
/// changes. Members are discovered from the store, from the seed addresses and from the replies of
/// peers, so that discovery also works during a store outage. Not thread safe.
class FleetPeers
{
public:
    struct Callbacks
    {
        /// Fills the usage of this instance into a report to a peer. The name is empty for one that
        /// is known by its address only.
        std::function<void(const std::string &peer, wire::FleetReportT &report)> fillReport;
        /// A report of a peer has arrived. hasRestarted is set for the first report after a restart
        /// of the peer's process.
        std::function<void(const std::string &peer, const wire::FleetReportT &report,
                           bool hasRestarted)>
                reported;
        /// A peer is no longer alive: it has sent no report within the timeout, or it has refused a
        /// connection since its last report. In the second case hasStopped is set.
        std::function<void(const std::string &peer, bool hasStopped)> lost;
        /// The set of known instances has changed.
        std::function<void()> membersChanged;
        /// A peer has reported the version of its configuration.
        std::function<void(const std::string &peer, std::uint64_t version)> configVersionSeen;
    };

    FleetPeers(const boost::asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
               MetricsRegistry &metrics, FleetPeer self, std::uint64_t incarnation);

    void setCallbacks(Callbacks callbacks);
    /// Starts sending reports. Seeds are addresses at which instances may listen, whose names are
    /// not known yet.
    void start(std::vector<SocketAddress> seeds);

    void addMember(const FleetPeer &peer);
    /// Removes an instance that is no longer part of the fleet.
    void removeMember(const std::string &name);

    /// Sends reports soon, because the usage of this instance has changed.
    void noteUsageChange();
    /// Announces that this instance is about to stop, so that its peers take over.
    void setLeaving();
    bool isLeaving() const { return m_isLeaving; }

    /// Processes the report of a peer and returns the reply. A report older than one already
    /// processed is ignored, and one of a process after which another has started.
    wire::FleetReportReplyT handleReport(const wire::FleetReportT &report);

    const FleetPeer &self() const { return m_self; }
    std::uint64_t incarnation() const { return m_incarnation; }
    /// The names of all known instances and of those that take callers, both with this instance.
    std::vector<std::string> memberNames() const;
    std::vector<std::string> callerInstances() const;
    /// The names of the instances that report and are not leaving, including this one.
    std::vector<std::string> aliveNames() const;
    /// The names of the other live instances with which reports are exchanged several times in the
    /// time after which a peer's result is needed.
    std::vector<std::string> closePeers() const;
    bool isAlive(const std::string &name) const;
    /// The incarnation of the peer's process in its last report; nothing before the first report.
    std::optional<std::uint64_t> incarnationOf(const std::string &name) const;
    /// The time since the peer's last response from the store, as of its last report; a minute if
    /// the peer is unknown or has not reported.
    std::chrono::milliseconds storeAgeOf(const std::string &name) const;
    /// Whether a live peer that has been up for longer than the given time knows this process, so
    /// that it counts what the process before it did as done by a process that has ended.
    bool isKnownByPeerWithUptimeAbove(std::chrono::milliseconds uptime) const;
    /// No process of this instance has run before this one, and all members are known.
    void setFirstProcess() { m_isFirstProcess = true; }
    /// Whether no process has ended within the given time that took callers: this one and all its
    /// peers are the first of their instances, or have been up for longer.
    bool isWithoutEndedProcesses(std::chrono::milliseconds time) const;
    /// Whether the peer may not have heard of all that others reported within the given time, as it
    /// has started, or was heard again, since.
    bool maySeeLess(const std::string &name, std::chrono::milliseconds time) const;
    /// The peers whose addresses refuse connections at present, so that no process listens there.
    std::vector<std::string> stoppedNames() const;
    /// The interval between two reports of a peer, by whether it is in the own failure domain.
    UsageAge reportIntervals() const { return {nearReportInterval(), farReportInterval()}; }
    /// The number of live instances of the own failure domain, including this one.
    int liveInDomain() const;
    /// Whether the peer is in another failure domain; false if it is unknown.
    bool isFar(const std::string &name) const;
    /// The interval at which summaries of another failure domain come from all its instances
    /// together.
    std::chrono::milliseconds summaryInterval() const;
    std::optional<SocketAddress> addressOf(const std::string &name) const;

    PeerClient &client() { return m_client; }

private:
    struct Member;

    boost::asio::awaitable<void> sendReports(std::shared_ptr<Member> member);
    boost::asio::awaitable<void> contactSeed(SocketAddress seed);
    boost::asio::awaitable<void> detectLostPeers();
    wire::FleetReportT makeReport(const std::string &peer);
    void handleReply(const wire::FleetReportReplyT &reply, const std::string &peer);
    std::shared_ptr<Member> addOrFindMember(const wire::FleetMemberT &member);
    std::int64_t countSameDomain() const;
    /// The interval between two reports to a peer, to those in the own failure domain, and to the
    /// others.
    std::chrono::milliseconds reportInterval(const Member &member) const;
    std::chrono::milliseconds nearReportInterval() const;
    std::chrono::milliseconds farReportInterval() const;

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
    bool m_isFirstProcess = false;
    bool m_hasStarted = false;
};

} // namespace pistachiofall
