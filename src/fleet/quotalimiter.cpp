#include "fleet/quotalimiter.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace {

constexpr std::chrono::milliseconds BucketWidth{100};
// The rate is granted for this much time in advance while the history is unknown, because callers
// reconnect together after a restart of all instances.
constexpr std::chrono::duration<double> InitialAllowance{0.5};
// The part of the limit, and of the tolerated excess, that is granted in a window without a
// history. It leaves as much for what was sent before.
constexpr double UnknownHistoryFraction = 0.5;
constexpr double UnknownExcessFraction = 0.75;
// Into how many equal parts the excess is divided at least: a process that has just started knows
// few others.
constexpr std::size_t MinUnknownHistoryParts = 8;
// A peer that refused a connection longer ago may have started again out of reach.
constexpr std::chrono::milliseconds StoppedLifetime{1500};
// Bounds the memory for processes that end one after the other.
constexpr std::size_t MaxEndedProcesses = 1024;
// Network delay and queueing at endpoints vary, so requests can arrive closer together than they
// were sent.
constexpr std::chrono::milliseconds WindowMargin{200};
// Three report intervals of an idle peer.
constexpr std::chrono::milliseconds PeerReportLifetime{600};
// Up to this number of peers, each one is assumed to send requests for every organisation.
constexpr std::size_t SmallFleetPeers = 16;
// The rest of the operators' slack covers requests in flight.
constexpr double UsableSlackFraction = 0.5;
constexpr std::chrono::milliseconds MaxRetryAfter{1500};
constexpr std::chrono::milliseconds MinRetryAfter{200};

} // namespace

QuotaLimiter::QuotaLimiter(std::chrono::milliseconds window)
    : m_window(window + WindowMargin)
{ }

void QuotaLimiter::setWindow(std::chrono::milliseconds window)
{
    m_window = window + WindowMargin;
}

void QuotaLimiter::setPeerUsage(const std::string &peer, std::map<std::string, std::uint32_t> use,
                                std::uint64_t incarnation, SteadyTime now)
{
    Peer &entry = m_peers[peer];
    if (entry.incarnation != 0 && entry.incarnation != incarnation) {
        EndedProcess ended{peer, entry.incarnation, std::move(entry.use), entry.lastReport};
        entry.incarnation = incarnation;
        recordEnded(ended, now);
    }
    entry.incarnation = incarnation;
    entry.use = std::move(use);
    entry.lastReport = now;
    entry.stopped.reset();
}

// Several peers tell of one process; the highest counts and the latest time hold.
void QuotaLimiter::recordEnded(const EndedProcess &process, SteadyTime now)
{
    const auto peer = m_peers.find(process.instance);
    const bool isKnownAsPeer =
            peer != m_peers.end() && peer->second.incarnation == process.incarnation;
    if (isKnownAsPeer || process.use.empty() || now - process.counted > m_window)
        return;
    const auto isSame = [&process](const EndedProcess &known) {
        return known.instance == process.instance && known.incarnation == process.incarnation;
    };
    const auto known = std::find_if(m_ended.begin(), m_ended.end(), isSame);
    if (known == m_ended.end()) {
        if (m_ended.size() < MaxEndedProcesses)
            m_ended.push_back(process);
        return;
    }
    known->counted = std::max(known->counted, process.counted);
    for (const auto &[organisation, count] : process.use) {
        std::uint32_t &highest = known->use[organisation];
        highest = std::max(highest, count);
    }
}

std::vector<QuotaLimiter::EndedProcess> QuotaLimiter::endedProcesses(SteadyTime now) const
{
    std::vector<EndedProcess> processes;
    for (const EndedProcess &process : m_ended) {
        if (now - process.counted <= m_window)
            processes.push_back(process);
    }
    return processes;
}

void QuotaLimiter::setHistoryKnown(bool isKnown, SteadyTime now)
{
    if (m_countingSince == SteadyTime{})
        m_countingSince = now;
    m_isHistoryKnown = m_isHistoryKnown || isKnown || now - m_countingSince > m_window;
    std::erase_if(m_ended, [this, now](const EndedProcess &process) {
        return now - process.counted > m_window;
    });
}

void QuotaLimiter::setPeers(const std::set<std::string> &peers, SteadyTime now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (peers.contains(peer->first)) {
            ++peer;
            continue;
        }
        EndedProcess ended{peer->first, peer->second.incarnation, std::move(peer->second.use),
                           peer->second.lastReport};
        peer = m_peers.erase(peer);
        recordEnded(ended, now);
    }
    for (const std::string &name : peers)
        m_peers.try_emplace(name);
}

void QuotaLimiter::peerStopped(const std::string &peer, SteadyTime now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    if (!found->second.stopped)
        found->second.lastReport = now;
    found->second.stopped = now;
}

bool QuotaLimiter::hasStopped(const Peer &peer, SteadyTime now) const
{
    return peer.stopped && now - *peer.stopped <= StoppedLifetime;
}

void QuotaLimiter::trim(Own &own, SteadyTime now) const
{
    while (!own.buckets.empty() && now - own.buckets.front().begin > m_window + BucketWidth) {
        own.total -= own.buckets.front().count;
        own.buckets.pop_front();
    }
}

double QuotaLimiter::usedByEnded(const std::string &organisation, SteadyTime now) const
{
    double sum = 0;
    for (const EndedProcess &process : m_ended) {
        const auto found = process.use.find(organisation);
        if (found != process.use.end() && now - process.counted <= m_window)
            sum += found->second;
    }
    return sum;
}

double QuotaLimiter::usedByPeers(const std::string &organisation, double equalPart,
                                 SteadyTime now) const
{
    double sum = usedByEnded(organisation, now);
    for (const auto &[name, peer] : m_peers) {
        const auto found = peer.use.find(organisation);
        const double reported = found == peer.use.end() ? 0 : found->second;
        const bool isInWindow = now - peer.lastReport <= m_window;
        if (hasStopped(peer, now))
            sum += isInWindow ? reported : 0;
        else if (now - peer.lastReport <= PeerReportLifetime)
            sum += reported;
        else
            sum += std::max(equalPart, isInWindow ? reported : 0);
    }
    return sum;
}

double QuotaLimiter::allowedInWindow(const Limit &limit) const
{
    const std::chrono::duration<double> window = m_window - WindowMargin;
    return limit.ratePerSecond * window.count() + limit.burst;
}

std::map<std::string, double> QuotaLimiter::fleetUsage(SteadyTime now)
{
    std::map<std::string, double> usage;
    for (const auto &[organisation, count] : localUsage(now))
        usage[organisation] += count;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.lastReport > m_window)
            continue;
        for (const auto &[organisation, count] : peer.use)
            usage[organisation] += count;
    }
    for (const EndedProcess &process : endedProcesses(now)) {
        for (const auto &[organisation, count] : process.use)
            usage[organisation] += count;
    }
    return usage;
}

// Whether peers are out of reach and none is heard: they may know what was sent, and be sending.
// One that is silent beside others may have been removed.
bool QuotaLimiter::isCutOff(SteadyTime now) const
{
    const auto isHeard = [now](const auto &each) {
        return now - each.second.lastReport <= PeerReportLifetime;
    };
    const auto isSilent = [this, now](const auto &each) { return !hasStopped(each.second, now); };
    return std::none_of(m_peers.begin(), m_peers.end(), isHeard)
            && std::any_of(m_peers.begin(), m_peers.end(), isSilent);
}

double QuotaLimiter::allowedWithoutHistory(const Limit &limit, SteadyTime now) const
{
    const double allowed = allowedInWindow(limit);
    const double excess = m_tolerance.fraction * allowed + m_tolerance.requests;
    if (isCutOff(now)) {
        const std::size_t parts = std::max(m_peers.size() + 1, MinUnknownHistoryParts);
        return excess * UnknownExcessFraction / static_cast<double>(parts);
    }
    const double most = allowed * UnknownHistoryFraction + excess * UnknownExcessFraction;
    const std::chrono::duration<double> elapsed =
            m_countingSince == SteadyTime{} ? SteadyTime::duration{0} : now - m_countingSince;
    return std::min(most, limit.ratePerSecond * (elapsed.count() + InitialAllowance.count()));
}

bool QuotaLimiter::tryAcquire(const std::string &organisation, const Limit &limit, SteadyTime now)
{
    const double maxRequests =
            m_isHistoryKnown ? allowedInWindow(limit) : allowedWithoutHistory(limit, now);
    const double equalPart = maxRequests / static_cast<double>(m_peers.size() + 1);
    Own &own = m_own[organisation];
    trim(own, now);
    const double usedNow = own.total + usedByPeers(organisation, equalPart, now);
    if (usedNow + 1 > maxRequests || !isWithinPart(organisation, own, maxRequests - usedNow, now))
        return false;
    forceAcquire(organisation, now);
    return true;
}

// Returns whether this instance has admitted less than its part since the oldest report of the
// peers that currently report. Peers that send for the organisation share the limit.
bool QuotaLimiter::isWithinPart(const std::string &organisation, const Own &own, double remaining,
                                SteadyTime now) const
{
    int sharers = 1;
    SteadyTime oldest = now;
    for (const auto &[name, peer] : m_peers) {
        const bool isReporting = !peer.stopped && now - peer.lastReport <= PeerReportLifetime;
        if (!isReporting)
            continue;
        // A peer that has sent no requests may start at any time, but in a large fleet it is
        // unlikely that all of them do.
        if (peer.use.contains(organisation) || m_peers.size() <= SmallFleetPeers)
            ++sharers;
        oldest = std::min(oldest, peer.lastReport);
    }
    std::uint32_t recent = 0;
    for (const Bucket &bucket : own.buckets)
        recent += bucket.begin + BucketWidth >= oldest ? bucket.count : 0;
    const double remainingAtReport = remaining + recent;
    return recent + 1 <= std::max(
                   1.0, (remainingAtReport + m_tolerance.requests * UsableSlackFraction) / sharers);
}

void QuotaLimiter::forceAcquire(const std::string &organisation, SteadyTime now)
{
    Own &own = m_own[organisation];
    trim(own, now);
    if (own.buckets.empty() || now - own.buckets.back().begin >= BucketWidth)
        own.buckets.push_back({now, 0});
    ++own.buckets.back().count;
    ++own.total;
}

std::chrono::milliseconds QuotaLimiter::retryAfter(const std::string &organisation,
                                                   const Limit &limit) const
{
    const auto found = m_own.find(organisation);
    if (found == m_own.end() || found->second.total == 0 || limit.ratePerSecond <= 0)
        return MinRetryAfter;
    // The time in which this instance's part of the rate admits one more request.
    const double part = limit.ratePerSecond / static_cast<double>(m_peers.size() + 1);
    const std::chrono::milliseconds wait(static_cast<std::int64_t>(1000.0 / part));
    return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

std::map<std::string, std::uint32_t> QuotaLimiter::localUsage(SteadyTime now)
{
    std::map<std::string, std::uint32_t> use;
    for (auto &[organisation, own] : m_own) {
        trim(own, now);
        if (own.total > 0)
            use[organisation] = own.total;
    }
    return use;
}

} // namespace pistachiofall
