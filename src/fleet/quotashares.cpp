#include "fleet/quotashares.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace {

constexpr std::chrono::milliseconds BucketWidth{100};
// Callers come back together after a restart of all instances; the operators' slack covers this.
constexpr std::chrono::duration<double> FirstSecond{0.5};
// Requests travel to endpoints and wait there, so they arrive closer together than they were sent.
constexpr std::chrono::milliseconds WindowMargin{200};
// Three reports of a peer at rest.
constexpr std::chrono::milliseconds PeerReportLife{600};
// In a small fleet each peer counts as one that sends.
constexpr std::size_t FewPeers = 16;
// The rest of the operators' slack covers requests on their way.
constexpr double UsableSlack = 0.5;
constexpr std::chrono::milliseconds LongestRetryAfter{1500};
constexpr std::chrono::milliseconds ShortestRetryAfter{200};

} // namespace

QuotaShares::QuotaShares(std::chrono::milliseconds window)
    : m_window(window + WindowMargin)
{ }

void QuotaShares::setPeerUse(const std::string &peer, std::map<std::string, std::uint32_t> use,
                             std::uint64_t incarnation, SteadyTime now)
{
    Peer &entry = m_peers[peer];
    if (entry.incarnation != 0 && entry.incarnation != incarnation) {
        entry.earlierUse = std::move(entry.use);
        entry.earlierUntil = entry.heard + m_window;
    }
    entry.incarnation = incarnation;
    entry.use = std::move(use);
    entry.heard = now;
    entry.hasStopped = false;
}

void QuotaShares::setHasMemory(bool hasMemory, SteadyTime now)
{
    if (m_firstRequest == SteadyTime{})
        m_firstRequest = now;
    m_hasMemory = hasMemory || now - m_firstRequest > m_window;
}

void QuotaShares::addPeer(const std::string &peer)
{
    m_peers.try_emplace(peer);
}

void QuotaShares::peerStopped(const std::string &peer, SteadyTime now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.hasStopped)
        return;
    found->second.hasStopped = true;
    found->second.heard = now;
}

void QuotaShares::forgetPeer(const std::string &peer)
{
    m_peers.erase(peer);
}

void QuotaShares::trim(Own &own, SteadyTime now) const
{
    while (!own.buckets.empty() && now - own.buckets.front().begin > m_window + BucketWidth) {
        own.total -= own.buckets.front().count;
        own.buckets.pop_front();
    }
}

double QuotaShares::used(const std::string &organisation, double equalPart, SteadyTime now) const
{
    double sum = 0;
    for (const auto &[name, peer] : m_peers) {
        const auto found = peer.use.find(organisation);
        const double reported = found == peer.use.end() ? 0 : found->second;
        const auto earlier = peer.earlierUse.find(organisation);
        if (earlier != peer.earlierUse.end() && now <= peer.earlierUntil)
            sum += earlier->second;
        if (peer.hasStopped)
            sum += now - peer.heard <= m_window ? reported : 0;
        else if (now - peer.heard <= PeerReportLife)
            sum += reported;
        else
            sum += std::max(equalPart, now - peer.heard <= m_window ? reported : 0);
    }
    return sum;
}

double QuotaShares::mostNow(const Limit &limit, SteadyTime now) const
{
    const std::chrono::duration<double> window = m_window - WindowMargin;
    const double most = limit.ratePerSecond * window.count() + limit.burst;
    if (m_hasMemory)
        return most;
    const std::chrono::duration<double> running =
            m_firstRequest == SteadyTime{} ? SteadyTime::duration{0} : now - m_firstRequest;
    return std::min(most, limit.ratePerSecond * (running.count() + FirstSecond.count()));
}

bool QuotaShares::tryTake(const std::string &organisation, const Limit &limit, SteadyTime now)
{
    const double most = mostNow(limit, now);
    const double equalPart = most / static_cast<double>(m_peers.size() + 1);
    Own &own = m_own[organisation];
    trim(own, now);
    const double usedNow = own.total + used(organisation, equalPart, now);
    if (usedNow + 1 > most || !isWithinPart(organisation, own, most - usedNow, now))
        return false;
    take(organisation, now);
    return true;
}

// Whether this instance has given less than its part since the oldest report of the peers that send
// for the organisation too.
bool QuotaShares::isWithinPart(const std::string &organisation, const Own &own, double left,
                               SteadyTime now) const
{
    int sharers = 1;
    SteadyTime oldest = now;
    for (const auto &[name, peer] : m_peers) {
        const bool isHeard = !peer.hasStopped && now - peer.heard <= PeerReportLife;
        if (!isHeard)
            continue;
        // A peer that has sent nothing may begin at any moment, but seldom all of them do.
        if (peer.use.contains(organisation) || m_peers.size() <= FewPeers)
            ++sharers;
        oldest = std::min(oldest, peer.heard);
    }
    std::uint32_t recent = 0;
    for (const Bucket &bucket : own.buckets)
        recent += bucket.begin + BucketWidth >= oldest ? bucket.count : 0;
    const double atReport = left + recent;
    return recent + 1 <= std::max(1.0, (atReport + m_slack * UsableSlack) / sharers);
}

void QuotaShares::take(const std::string &organisation, SteadyTime now)
{
    Own &own = m_own[organisation];
    trim(own, now);
    if (own.buckets.empty() || now - own.buckets.back().begin >= BucketWidth)
        own.buckets.push_back({now, 0});
    ++own.buckets.back().count;
    ++own.total;
}

std::chrono::milliseconds QuotaShares::retryAfter(const std::string &organisation,
                                                  const Limit &limit) const
{
    const auto found = m_own.find(organisation);
    if (found == m_own.end() || found->second.total == 0 || limit.ratePerSecond <= 0)
        return ShortestRetryAfter;
    // One more request is free after the time in which this instance's part refills by one.
    const double part = limit.ratePerSecond / static_cast<double>(m_peers.size() + 1);
    const std::chrono::milliseconds wait(static_cast<std::int64_t>(1000.0 / part));
    return std::clamp(wait, ShortestRetryAfter, LongestRetryAfter);
}

std::map<std::string, std::uint32_t> QuotaShares::ownUse(SteadyTime now)
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
