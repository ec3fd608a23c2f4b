#pragma once

#include "coord/coordtimes.h"
#include "coord/heldshards.h"
#include "coord/holderid.h"
#include "coord/limitanswer.h"
#include "coord/organisationlimit.h"
#include "coord/ratelimit.h"
#include "coord/shardtable.h"
#include "coord/tokenbucket.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiofall {

/// Rate limiter for the organisations whose shards this process holds: grants tokens from their
/// buckets. Losing a share of a bucket takes effect at once; a gained share starts empty. Thread
/// safe.
///
/// The limit over all holders together is kept only if the caller follows these rules. It checks
/// IsolationMonitor::isIsolated with the same time before each request. It announces an epoch that
/// it learns of before it counts the message as a confirmation, and sends newestEpoch() in
/// heartbeats. It reads the time that it passes to setTable, setRates and changeRate after the data
/// arrived.
class ShardRateLimiter
{
public:
    explicit ShardRateLimiter(HolderId self);

    /// Replaces the limits of all organisations, at startup and whenever versions of the rules were
    /// skipped. A bucket may have become divided or undivided in the skipped versions, so halves
    /// that may have moved between holders stay unused for DivisionChangeDelay.
    void setRates(std::span<const OrganisationLimit> limits, SteadyTime now);

    /// Changes, adds or removes (no limit) one organisation. Every change must be applied, in the
    /// order of the versions of the rules. The bucket keeps its level, capped at the new burst;
    /// grants that are not due yet keep their due times. A new organisation starts with an empty
    /// bucket.
    void changeRate(std::string_view organisation, std::optional<RateLimit> limit, SteadyTime now);

    /// Applies a newer table and resumes all paused shards. A table that is not newer is ignored.
    void setTable(const ShardTable &table, SteadyTime now);

    /// Stops granting for all shards until a table of this epoch or a newer one is set.
    void announceEpoch(std::uint64_t epoch);

    /// Returns the epoch of the table in use; 0 before the first.
    std::uint64_t epoch() const;

    /// Returns the newest epoch that was announced or set, for heartbeats.
    std::uint64_t newestEpoch() const;

    /// Requests tokens of an organisation. A grant becomes due within maxWait, and within
    /// MaxGrantWait if that is less. Refused for an organisation that is not in the rules.
    LimitAnswer request(std::string_view organisation, std::uint32_t tokens,
                        std::chrono::milliseconds maxWait, SteadyTime now);

    /// Stops granting for the shards before a change of the table of the given epoch hands them
    /// over. Returns the time from which the change may be written, when all grants are due; empty
    /// if the table in use has another epoch, so that the change is stale.
    std::optional<SteadyTime> pauseShards(std::uint64_t epoch,
                                          std::span<const std::uint32_t> shards, SteadyTime now);

    /// Like pauseShards, for a change that another instance writes. That write may take effect at
    /// any time until the epoch changes, so the shards stay paused until then (keepPaused).
    std::optional<SteadyTime> releaseShards(std::uint64_t epoch,
                                            std::span<const std::uint32_t> shards, SteadyTime now);

    /// Resumes granting for paused shards, after a write that certainly had no effect. Does nothing
    /// if the table in use has another epoch or keepPaused was called for it.
    void resumeShards(std::uint64_t epoch);

    /// Keeps the shards that were paused under the epoch paused, because the outcome of a write is
    /// unknown: it may take effect at any time until the epoch changes, even after a read that does
    /// not show it.
    void keepPaused(std::uint64_t epoch);

    /// Returns the shards with a place that is held but not used yet, because it was taken over.
    std::vector<std::uint32_t> pendingTakeovers(SteadyTime now) const;

    /// Frees the state of full buckets. Must be called every few seconds.
    void dropIdleBuckets(SteadyTime now);

    /// Returns the number of buckets that have state.
    std::size_t bucketCount() const;

private:
    struct Organisation
    {
        RateLimit limit;
        std::uint64_t hash = 0;
        SteadyTime knownSince;
        // When this process learned whether the bucket is divided.
        SteadyTime divisionKnownSince;
        // Null stands for a bucket that started empty when the share began and was not used since.
        std::unique_ptr<TokenBucket> bucket;
        std::uint32_t generation = 0;
    };

    struct NameHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): standard name
        std::size_t operator()(std::string_view name) const;
    };

    struct Stripe
    {
        mutable std::mutex mutex;
        std::shared_ptr<const detail::HeldShards> held;
        std::unordered_map<std::string, Organisation, NameHash, std::equal_to<>> organisations;
        SteadyTime lastDue;
        // When a bucket was last dropped. A request that read the clock before that would get
        // tokens that were granted since, so it is dated to this time.
        SteadyTime lastDrop;
    };

    static constexpr std::size_t StripeCount = 64;

    Stripe &stripeOf(std::uint64_t hash) { return m_stripes[hash >> 58U]; }
    static ShareTimes timesOf(const Organisation &organisation, const PlaceStarts &starts);
    static PlaceStarts startsOf(const Organisation &organisation, const detail::HeldShards &held);
    static TokenBucket bucketAt(const Organisation &organisation, const ShareTimes &times,
                                SteadyTime time);
    static void carryBucketOver(Organisation &organisation, const detail::HeldShards &before,
                                const detail::HeldShards &after, SteadyTime now);
    static LimitAnswer take(Stripe &stripe, Organisation &organisation, std::uint32_t tokens,
                            std::chrono::milliseconds maxWait, SteadyTime now);
    void add(Stripe &stripe, std::string_view name, const RateLimit &limit, SteadyTime now);
    static void changeLimit(Stripe &stripe, Organisation &organisation, const RateLimit &limit,
                            SteadyTime divisionKnownSince, SteadyTime now);
    std::optional<SteadyTime> pauseHeld(std::uint64_t epoch, std::span<const std::uint32_t> shards,
                                        SteadyTime now);
    void replaceHeld(std::shared_ptr<const detail::HeldShards> held);

    HolderId m_self;
    std::atomic<std::uint64_t> m_announcedEpoch{0};
    // Serialises changes of m_held; locked before the mutex of a stripe.
    mutable std::mutex m_tableMutex;
    std::shared_ptr<const detail::HeldShards> m_held;
    std::uint64_t m_keepPausedEpoch = 0;
    std::mutex m_ratesMutex;
    std::uint32_t m_generation = 0;
    std::array<Stripe, StripeCount> m_stripes;
};

} // namespace pistachiofall
