#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// Enforces the request limit of each organisation across all instances. Each instance counts the
/// requests that it sent in the sliding window and receives the counts of its peers several times
/// per second. A peer whose reports are missing is assumed to send up to an equal part of the
/// limit, and an instance that receives no reports sends no more than its own equal part, so the
/// two sides of a network partition stay within the limit together. Between two reports an
/// instance admits at most an equal part of the limit that was unused at the older report, so that
/// a burst that reaches many instances at once stays within the limit as well.
///
/// What a process has sent counts until it leaves the window, also after the end of the process:
/// the instances keep the counts of processes that have ended and tell them to those that can not
/// know them, the next process of the same instance among them. A process that has heard of none
/// yet, and has not counted for a whole window itself, sends only its part of the excess that
/// operators tolerate.
///
/// Not thread safe.
class QuotaLimiter
{
public:
    /// The limit of one organisation.
    struct Limit
    {
        double ratePerSecond = 0;
        double burst = 0;
    };

    /// By how much the operators tolerate that a limit is exceeded in one window.
    struct Tolerance
    {
        /// A part of what the limit allows in the window.
        double fraction = 0;
        double requests = 0;
    };

    /// What a process sent in its window before its end.
    struct EndedProcess
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        std::map<std::string, std::uint32_t> use;
        /// When the process last told its counts.
        SteadyTime counted{};
    };

    /// The window is the one over which the operators' bound on the limit is checked.
    explicit QuotaLimiter(std::chrono::milliseconds window);

    void setWindow(std::chrono::milliseconds window);
    void setTolerance(const Tolerance &tolerance) { m_tolerance = tolerance; }

    /// Stores the report of a peer: its counts for the current window. When the incarnation
    /// changes, the last counts of the previous process are kept until they leave the window.
    void setPeerUsage(const std::string &peer, std::map<std::string, std::uint32_t> use,
                      std::uint64_t incarnation, SteadyTime now);

    /// A peer knows of a process that has ended, possibly one of this instance.
    void recordEnded(const EndedProcess &process, SteadyTime now);
    /// The processes whose counts have not left the window, to tell peers.
    std::vector<EndedProcess> endedProcesses(SteadyTime now) const;

    /// Sets whether an instance that has counted for a whole window has told this process what it
    /// knows. The history also counts as known once this process has counted requests for a whole
    /// window itself.
    void setHistoryKnown(bool isKnown, SteadyTime now);
    /// Sets the peers that may send requests. What others have sent counts until it leaves the
    /// window.
    void setPeers(const std::set<std::string> &peers, SteadyTime now);
    /// The peer's process does not run at the time given, as its address refuses connections. The
    /// requests that it sent count until they leave the window. Unless this is repeated, the peer
    /// is soon taken to run out of reach.
    void peerStopped(const std::string &peer, SteadyTime now);

    /// Counts a request if the organisation is within its limit.
    /// Returns whether the request was counted.
    bool tryAcquire(const std::string &organisation, const Limit &limit, SteadyTime now);
    /// Counts a request that is sent again, without checking the limit.
    void forceAcquire(const std::string &organisation, SteadyTime now);

    /// Returns how long a rejected caller should wait before it tries again.
    std::chrono::milliseconds retryAfter(const std::string &organisation, const Limit &limit) const;

    /// Returns the number of requests that all instances sent in their windows as far as reported,
    /// by organisation.
    std::map<std::string, double> fleetUsage(SteadyTime now);
    /// Returns what the limit allows in one window.
    double allowedInWindow(const Limit &limit) const;

    /// Returns the number of requests that this instance sent in its window, by organisation.
    std::map<std::string, std::uint32_t> localUsage(SteadyTime now);

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
        SteadyTime lastReport{};
        /// When the peer was last known not to run; nothing since its last report.
        std::optional<SteadyTime> stopped;
        std::uint64_t incarnation = 0;
    };

    void trim(Own &own, SteadyTime now) const;
    bool hasStopped(const Peer &peer, SteadyTime now) const;
    double usedByEnded(const std::string &organisation, SteadyTime now) const;
    double usedByPeers(const std::string &organisation, double equalPart, SteadyTime now) const;
    bool isCutOff(SteadyTime now) const;
    double allowedWithoutHistory(const Limit &limit, SteadyTime now) const;
    bool isWithinPart(const std::string &organisation, const Own &own, double remaining,
                      SteadyTime now) const;

    std::chrono::milliseconds m_window;
    std::map<std::string, Own> m_own;
    std::map<std::string, Peer> m_peers;
    std::vector<EndedProcess> m_ended;
    Tolerance m_tolerance;
    bool m_isHistoryKnown = false;
    SteadyTime m_countingSince{};
};

} // namespace pistachiofall
