#include "serving/fleetpeers.h"

#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Interval between two reports to one peer. Peers in the same failure domain share most endpoints
// with this instance, so they get reports often. The interval for other peers grows with the square
// of the fleet size, so that the number of reports sent to them per second does not grow with it.
constexpr milliseconds MinReportInterval{25};
constexpr milliseconds ReportIntervalPerPeer{2};
constexpr std::int64_t PeersWithShortInterval = 16;
constexpr milliseconds MaxReportInterval{1000};
constexpr milliseconds HeartbeatInterval{200};
// Peers whose interval is no longer than this are close.
constexpr milliseconds CloseReportInterval{100};
constexpr milliseconds CallTimeout{400};
constexpr milliseconds RetryDelay{200};
// A peer is lost after five heartbeats without a report, or after this many report intervals if
// that is longer, as in a large fleet.
constexpr milliseconds PeerTimeout{1000};
constexpr int PeerTimeoutIntervals = 3;
constexpr milliseconds PeerTimeoutPollInterval{100};
// A peer whose process does not run refuses each report, which is repeated.
constexpr milliseconds RefusalLifetime{500};
// A longer delay of a poll shows that this instance did not run.
constexpr milliseconds MinStall{300};
constexpr milliseconds SeedRetryDelay{300};
// Store age of a peer that has not reported one: old enough to count as cut off from the store.
constexpr milliseconds UnknownStoreAge{60000};

PeerClientSettings clientSettings()
{
    PeerClientSettings settings;
    settings.connectTimeout = CallTimeout;
    // An established connection may stop responding while new connections still work, so it is
    // probed and closed early.
    settings.probeAfter = milliseconds{300};
    settings.closeAfter = milliseconds{300};
    return settings;
}

wire::FleetMemberT encode(const FleetPeer &peer)
{
    wire::FleetMemberT member;
    member.instance = peer.name;
    member.address = peer.address.toString();
    member.failureDomain = peer.failureDomain;
    member.takesCallers = peer.takesCallers;
    return member;
}

} // namespace

struct FleetPeers::Member
{
    Member(FleetPeer fleetPeer, const asio::any_io_executor &executor)
        : peer(std::move(fleetPeer))
        , timer(executor)
    { }

    FleetPeer peer;
    asio::steady_timer timer;
    std::uint64_t incarnation = 0;
    /// That of the process before it, whose last reports may arrive after the first of the new one.
    std::uint64_t previousIncarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t sentUsageVersion = 0;
    SteadyTime lastHeard{};
    /// Since when reports have come without a loss of the peer.
    SteadyTime heardSince{};
    milliseconds uptime{0};
    /// Whether the peer's last report named the incarnation of this process.
    bool knowsThisProcess = false;
    bool isFirstProcess = false;
    milliseconds storeAge = UnknownStoreAge;
    bool isLeaving = false;
    bool isAlive = false;
    bool isRemoved = false;
    bool isIdle = false;
};

FleetPeers::FleetPeers(const asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
                       MetricsRegistry &metrics, FleetPeer self, std::uint64_t incarnation)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_startTime(clock.now())
    , m_client(executor, metrics, clientSettings())
{ }

void FleetPeers::setCallbacks(Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
}

void FleetPeers::start(std::vector<SocketAddress> seeds)
{
    m_hasStarted = true;
    for (const auto &[name, member] : m_members)
        asio::co_spawn(m_executor, sendReports(member), asio::detached);
    for (SocketAddress &seed : seeds) {
        if (seed != m_self.address)
            asio::co_spawn(m_executor, contactSeed(std::move(seed)), asio::detached);
    }
    asio::co_spawn(m_executor, detectLostPeers(), asio::detached);
}

std::int64_t FleetPeers::countSameDomain() const
{
    return std::count_if(m_members.begin(), m_members.end(), [this](const auto &each) {
        return each.second->peer.failureDomain == m_self.failureDomain;
    });
}

milliseconds FleetPeers::reportInterval(const Member &member) const
{
    const bool isNear = member.peer.failureDomain == m_self.failureDomain;
    return isNear ? nearReportInterval() : farReportInterval();
}

milliseconds FleetPeers::nearReportInterval() const
{
    return std::clamp<milliseconds>(ReportIntervalPerPeer * countSameDomain(), MinReportInterval,
                                    MaxReportInterval);
}

milliseconds FleetPeers::farReportInterval() const
{
    const auto memberCount = static_cast<std::int64_t>(m_members.size());
    const milliseconds interval =
            ReportIntervalPerPeer * memberCount * memberCount / PeersWithShortInterval;
    return std::clamp<milliseconds>(interval, MinReportInterval, MaxReportInterval);
}

int FleetPeers::liveInDomain() const
{
    return 1
            + static_cast<int>(
                    std::count_if(m_members.begin(), m_members.end(), [this](const auto &each) {
                        return each.second->isAlive && !isFar(each.first);
                    }));
}

bool FleetPeers::isFar(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found != m_members.end() && found->second->peer.failureDomain != m_self.failureDomain;
}

// The other failure domains are taken to have the mean number of instances.
milliseconds FleetPeers::summaryInterval() const
{
    std::set<std::string> domains;
    for (const auto &[name, member] : m_members) {
        if (isFar(name))
            domains.insert(member->peer.failureDomain);
    }
    const auto far = static_cast<std::int64_t>(m_members.size()) - countSameDomain();
    if (far == 0)
        return farReportInterval();
    return farReportInterval() * static_cast<std::int64_t>(domains.size()) / far;
}

void FleetPeers::addMember(const FleetPeer &peer)
{
    if (peer.name == m_self.name)
        return;
    const auto found = m_members.find(peer.name);
    if (found != m_members.end()) {
        if (found->second->peer.address == peer.address)
            return;
        // Another machine now uses the name.
        found->second->isRemoved = true;
        found->second->timer.cancel();
        m_members.erase(found);
    }
    const auto member = std::make_shared<Member>(peer, m_executor);
    m_members[peer.name] = member;
    m_log.info("peer_known",
               {{"peer", peer.name},
                {"address", peer.address.toString()},
                {"peers", std::uint64_t{m_members.size()}}});
    if (m_hasStarted)
        asio::co_spawn(m_executor, sendReports(member), asio::detached);
    m_callbacks.membersChanged();
}

void FleetPeers::removeMember(const std::string &name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    found->second->isRemoved = true;
    found->second->timer.cancel();
    m_members.erase(found);
    m_log.info("peer_removed", {{"peer", name}});
    m_callbacks.membersChanged();
}

std::shared_ptr<FleetPeers::Member> FleetPeers::addOrFindMember(const wire::FleetMemberT &member)
{
    if (member.instance == m_self.name)
        return nullptr;
    const auto found = m_members.find(member.instance);
    if (found != m_members.end() && found->second->peer.address.toString() == member.address)
        return found->second;
    const auto address = SocketAddress::parse(member.address);
    if (!isOk(address)) {
        m_log.warning("peer_address_unreadable",
                      {{"peer", member.instance}, {"address", member.address}});
        return nullptr;
    }
    addMember({member.instance, valueOf(address), member.failureDomain, member.takesCallers});
    return m_members[member.instance];
}

void FleetPeers::noteUsageChange()
{
    ++m_usageVersion;
    for (const auto &[name, member] : m_members) {
        if (member->isIdle)
            member->timer.cancel();
    }
}

void FleetPeers::setLeaving()
{
    m_isLeaving = true;
    noteUsageChange();
}

wire::FleetReportT FleetPeers::makeReport(const std::string &peer)
{
    wire::FleetReportT report;
    report.sender = std::make_unique<wire::FleetMemberT>(encode(m_self));
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.leaving = m_isLeaving;
    const auto uptime = std::chrono::duration_cast<milliseconds>(m_clock.now() - m_startTime);
    report.uptimeMs = static_cast<std::uint32_t>(uptime.count());
    report.isFirstProcess = m_isFirstProcess;
    report.receiverIncarnation = incarnationOf(peer).value_or(0);
    m_callbacks.fillReport(peer, report);
    return report;
}

asio::awaitable<void> FleetPeers::sendReports(std::shared_ptr<Member> member)
{
    while (!member->isRemoved) {
        const auto begin = m_clock.now();
        member->sentUsageVersion = m_usageVersion;
        wire::BodyUnion body;
        body.Set(makeReport(member->peer.name));
        const auto reply =
                co_await m_client.call(member->peer.address, std::move(body), CallTimeout);
        const std::string outcome = isOk(reply) ? "heard" : "lost";
        m_metrics.counter("peer_reports_total", {{"outcome", outcome}}).add();
        if (!isOk(reply)) {
            co_await sleepFor(RetryDelay);
            continue;
        }
        if (const auto *message = valueOf(reply).AsFleetReportReply())
            handleReply(*message, member->peer.name);
        const auto interval = reportInterval(*member);
        const auto spent = std::chrono::duration_cast<milliseconds>(m_clock.now() - begin);
        if (spent < interval)
            co_await sleepFor(interval - spent);
        if (member->sentUsageVersion != m_usageVersion || member->isRemoved)
            continue;
        member->timer.expires_at(begin + std::max<milliseconds>(HeartbeatInterval, interval));
        member->isIdle = true;
        boost::system::error_code ignored;
        co_await member->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        member->isIdle = false;
    }
}

asio::awaitable<void> FleetPeers::contactSeed(SocketAddress seed)
{
    for (;;) {
        wire::BodyUnion body;
        body.Set(makeReport({}));
        const auto reply = co_await m_client.call(seed, std::move(body), CallTimeout);
        if (isOk(reply)) {
            if (const auto *message = valueOf(reply).AsFleetReportReply())
                handleReply(*message, seed.toString());
            co_return;
        }
        co_await sleepFor(SeedRetryDelay);
    }
}

void FleetPeers::handleReply(const wire::FleetReportReplyT &reply, const std::string &peer)
{
    for (const auto &member : reply.members)
        addOrFindMember(*member);
    m_callbacks.configVersionSeen(peer, reply.configVersion);
}

wire::FleetReportReplyT FleetPeers::handleReport(const wire::FleetReportT &report)
{
    wire::FleetReportReplyT reply;
    if (!report.sender)
        return reply;
    const auto member = addOrFindMember(*report.sender);
    // Only peers that started less than 3 s ago need the list of members.
    if (report.uptimeMs < 3000) {
        for (const auto &[name, each] : m_members)
            reply.members.push_back(std::make_unique<wire::FleetMemberT>(encode(each->peer)));
        reply.members.push_back(std::make_unique<wire::FleetMemberT>(encode(m_self)));
    }
    if (!member)
        return reply;
    if (report.incarnation == member->previousIncarnation)
        return reply;
    const bool hasRestarted = member->incarnation != 0 && member->incarnation != report.incarnation;
    if (hasRestarted)
        member->previousIncarnation = member->incarnation;
    if (member->incarnation == report.incarnation && report.sequence < member->sequence)
        return reply;
    member->incarnation = report.incarnation;
    member->sequence = report.sequence;
    member->lastHeard = m_clock.now();
    member->uptime = milliseconds{report.uptimeMs};
    member->storeAge = milliseconds{report.storeAgeMs};
    member->isFirstProcess = report.isFirstProcess;
    member->knowsThisProcess = report.receiverIncarnation == m_incarnation;
    if (!member->isAlive || hasRestarted)
        member->heardSince = m_clock.now();
    if (!member->isAlive)
        m_log.info("peer_heard",
                   {{"peer", member->peer.name},
                    {"incarnation", report.incarnation},
                    {"uptime_ms", std::uint64_t{report.uptimeMs}}});
    member->isAlive = true;
    if (report.leaving && !member->isLeaving)
        m_log.info("peer_leaving", {{"peer", member->peer.name}});
    member->isLeaving = report.leaving;
    m_callbacks.reported(member->peer.name, report, hasRestarted);
    m_callbacks.configVersionSeen(member->peer.name, report.configVersion);
    return reply;
}

asio::awaitable<void> FleetPeers::detectLostPeers()
{
    auto lastPoll = m_clock.now();
    for (;;) {
        co_await sleepFor(PeerTimeoutPollInterval);
        const auto now = m_clock.now();
        const auto stall = now - lastPoll - PeerTimeoutPollInterval;
        lastPoll = now;
        for (const auto &[name, member] : m_members) {
            // While this instance stood still, reports could not be taken; they may wait now.
            if (stall > MinStall)
                member->lastHeard = std::min(now, member->lastHeard + stall);
            if (!member->isAlive)
                continue;
            const auto refused = m_client.refusedAt(member->peer.address);
            const bool hasStopped = refused && *refused > member->lastHeard;
            const milliseconds timeout =
                    std::max(PeerTimeout, reportInterval(*member) * PeerTimeoutIntervals);
            if (!hasStopped && now - member->lastHeard <= timeout)
                continue;
            member->isAlive = false;
            const auto silence = std::chrono::duration_cast<milliseconds>(now - member->lastHeard);
            m_log.warning("peer_lost",
                          {{"peer", name},
                           {"silent_ms", std::int64_t{silence.count()}},
                           {"stopped", hasStopped ? "yes" : "unknown"}});
            m_callbacks.lost(name, hasStopped);
        }
    }
}

std::vector<std::string> FleetPeers::memberNames() const
{
    std::vector<std::string> names{m_self.name};
    for (const auto &[name, member] : m_members)
        names.push_back(name);
    return names;
}

std::vector<std::string> FleetPeers::callerInstances() const
{
    std::vector<std::string> names;
    if (m_self.takesCallers)
        names.push_back(m_self.name);
    for (const auto &[name, member] : m_members) {
        if (member->peer.takesCallers)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> FleetPeers::aliveNames() const
{
    std::vector<std::string> names{m_self.name};
    for (const auto &[name, member] : m_members) {
        if (member->isAlive && !member->isLeaving)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> FleetPeers::closePeers() const
{
    const bool areNearClose = nearReportInterval() <= CloseReportInterval;
    const bool areFarClose = farReportInterval() <= CloseReportInterval;
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        const bool isNear = member->peer.failureDomain == m_self.failureDomain;
        if (member->isAlive && !member->isLeaving && (isNear ? areNearClose : areFarClose))
            names.push_back(name);
    }
    return names;
}

bool FleetPeers::isAlive(const std::string &name) const
{
    const auto found = m_members.find(name);
    return name == m_self.name
            || (found != m_members.end() && found->second->isAlive && !found->second->isLeaving);
}

std::optional<std::uint64_t> FleetPeers::incarnationOf(const std::string &name) const
{
    if (name == m_self.name)
        return m_incarnation;
    const auto found = m_members.find(name);
    if (found == m_members.end() || found->second->incarnation == 0)
        return std::nullopt;
    return found->second->incarnation;
}

milliseconds FleetPeers::storeAgeOf(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? UnknownStoreAge : found->second->storeAge;
}

bool FleetPeers::isKnownByPeerWithUptimeAbove(milliseconds uptime) const
{
    return std::any_of(m_members.begin(), m_members.end(), [uptime](const auto &each) {
        const Member &member = *each.second;
        return member.isAlive && member.knowsThisProcess && member.uptime > uptime;
    });
}

bool FleetPeers::isWithoutEndedProcesses(milliseconds time) const
{
    return m_isFirstProcess
            && std::all_of(m_members.begin(), m_members.end(), [time](const auto &each) {
                   const Member &member = *each.second;
                   const bool isKnown =
                           member.isAlive && (member.isFirstProcess || member.uptime > time);
                   return isKnown || !member.peer.takesCallers;
               });
}

bool FleetPeers::maySeeLess(const std::string &name, milliseconds time) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() || !found->second->isAlive
            || m_clock.now() - found->second->heardSince <= time;
}

std::vector<std::string> FleetPeers::stoppedNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        const auto refused = m_client.refusedAt(member->peer.address);
        if (refused && *refused > member->lastHeard && m_clock.now() - *refused <= RefusalLifetime)
            names.push_back(name);
    }
    return names;
}

std::optional<SocketAddress> FleetPeers::addressOf(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? std::nullopt
                                    : std::optional<SocketAddress>(found->second->peer.address);
}

} // namespace pistachiofall
