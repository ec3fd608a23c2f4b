#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace pistachiofall {

/// Keeps the requests of each organisation within its limit over all instances. Each instance
/// counts what it sent in the sliding window and hears the counts of its peers several times a
/// second. A peer that is not heard may send its equal part of the limit, and one that hears nobody
/// sends no more than that, so two halves of a split fleet stay within the limit together. Between
/// two reports each instance gives no more than an equal part of what was left at the older one, so
/// that a burst that reaches many instances at once stays within the limit too.
///
/// Not thread safe.
class QuotaShares
{
public:
    /// The limit of one organisation.
    struct Limit
    {
        double ratePerSecond = 0;
        double burst = 0;
    };

    /// The window is that of the operators' bound.
    explicit QuotaShares(std::chrono::milliseconds window);

    /// What may be sent beyond a limit in one window, as operators allow it.
    void setSlack(double requests) { m_slack = requests; }

    /// A report of a peer; the counts are those of its window. What a process of the peer sent that
    /// ended meanwhile counts for one more window.
    void setPeerUse(const std::string &peer, std::map<std::string, std::uint32_t> use,
                    std::uint64_t incarnation, SteadyTime now);

    /// Whether some instance remembers the whole window. Until then, such as after all instances
    /// stopped together, only the rate is given and not the burst: what was sent before is unknown.
    void setHasMemory(bool hasMemory, SteadyTime now);
    /// An instance joined that may send requests, or is known to have stopped. What it sent counts
    /// until it has left the window.
    void addPeer(const std::string &peer);
    void peerStopped(const std::string &peer, SteadyTime now);
    void forgetPeer(const std::string &peer);

    /// Counts a request if the organisation is within its limit.
    bool tryTake(const std::string &organisation, const Limit &limit, SteadyTime now);
    /// Counts a request that is sent again without asking.
    void take(const std::string &organisation, SteadyTime now);

    /// When the oldest counted requests leave the window; a caller may try again after it.
    std::chrono::milliseconds retryAfter(const std::string &organisation, const Limit &limit) const;

    /// What this instance sent in its window.
    std::map<std::string, std::uint32_t> ownUse(SteadyTime now);

private:
    struct Bucket
    {
        SteadyTime begin;
        std::uint32_t count = 0;
    };

    struct Own
    {
        std::deque<Bucket> buckets;
        std::uint32_t total = 0;
    };

    struct Peer
    {
        std::map<std::string, std::uint32_t> use;
        SteadyTime heard{};
        bool hasStopped = false;
        std::uint64_t incarnation = 0;
        /// By the process before.
        std::map<std::string, std::uint32_t> earlierUse;
        SteadyTime earlierUntil{};
    };

    void trim(Own &own, SteadyTime now) const;
    double used(const std::string &organisation, double equalPart, SteadyTime now) const;
    double mostNow(const Limit &limit, SteadyTime now) const;
    bool isWithinPart(const std::string &organisation, const Own &own, double left,
                      SteadyTime now) const;

    std::chrono::milliseconds m_window;
    std::map<std::string, Own> m_own;
    std::map<std::string, Peer> m_peers;
    double m_slack = 0;
    bool m_hasMemory = false;
    SteadyTime m_firstRequest{};
};

} // namespace pistachiofall
