#include "coord/shardratelimiter.h"

#include "base/stablehash.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

using detail::HeldShard;
using detail::HeldShards;
using std::chrono::microseconds;

ShardRateLimiter::ShardRateLimiter(HolderId self)
    : m_self(std::move(self))
    , m_held(std::make_shared<HeldShards>())
{
    for (Stripe &stripe : m_stripes)
        stripe.held = m_held;
}

std::size_t ShardRateLimiter::NameHash::operator()(std::string_view name) const
{
    return stableHash(name);
}

void ShardRateLimiter::setRates(std::span<const OrganisationLimit> limits, SteadyTime now)
{
    const std::scoped_lock ratesLock(m_ratesMutex);
    ++m_generation;
    for (const auto &[name, limit] : limits) {
        const std::uint64_t hash = stableHash(name);
        Stripe &stripe = stripeOf(hash);
        const std::scoped_lock lock(stripe.mutex);
        auto position = stripe.organisations.find(name);
        if (position == stripe.organisations.end()) {
            add(stripe, name, limit, now);
            continue;
        }
        position->second.generation = m_generation;
        changeLimit(stripe, position->second, limit, now, now);
    }
    for (Stripe &stripe : m_stripes) {
        const std::scoped_lock lock(stripe.mutex);
        std::erase_if(stripe.organisations, [this](const auto &entry) {
            return entry.second.generation != m_generation;
        });
    }
}

void ShardRateLimiter::changeRate(std::string_view organisation, std::optional<RateLimit> limit,
                                  SteadyTime now)
{
    const std::scoped_lock ratesLock(m_ratesMutex);
    const std::uint64_t hash = stableHash(organisation);
    Stripe &stripe = stripeOf(hash);
    const std::scoped_lock lock(stripe.mutex);
    const auto position = stripe.organisations.find(organisation);
    if (position != stripe.organisations.end()) {
        Organisation &known = position->second;
        if (!limit) {
            stripe.organisations.erase(position);
            return;
        }
        const bool isSame = isUndivided(known.limit) == isUndivided(*limit);
        changeLimit(stripe, known, *limit, isSame ? known.divisionKnownSince : now, now);
    } else if (limit) {
        add(stripe, organisation, *limit, now);
    }
}

void ShardRateLimiter::setTable(const ShardTable &table, SteadyTime now)
{
    const std::scoped_lock tableLock(m_tableMutex);
    if (table.epoch <= m_held->epoch)
        return;
    const auto before = m_held;
    m_held = std::make_shared<HeldShards>(detail::nextHeldShards(*before, table, m_self, now));
    for (Stripe &stripe : m_stripes) {
        const std::scoped_lock lock(stripe.mutex);
        for (auto &[name, organisation] : stripe.organisations)
            carryBucketOver(organisation, *before, *m_held, now);
        stripe.held = m_held;
    }
}

void ShardRateLimiter::announceEpoch(std::uint64_t epoch)
{
    std::uint64_t known = m_announcedEpoch.load();
    while (known < epoch && !m_announcedEpoch.compare_exchange_weak(known, epoch)) { }
}

std::uint64_t ShardRateLimiter::epoch() const
{
    const std::scoped_lock tableLock(m_tableMutex);
    return m_held->epoch;
}

std::uint64_t ShardRateLimiter::newestEpoch() const
{
    return std::max(epoch(), m_announcedEpoch.load());
}

LimitAnswer ShardRateLimiter::request(std::string_view organisation, std::uint32_t tokens,
                                      std::chrono::milliseconds maxWait, SteadyTime now)
{
    const std::uint64_t hash = stableHash(organisation);
    Stripe &stripe = stripeOf(hash);
    const std::scoped_lock lock(stripe.mutex);
    const HeldShards &held = *stripe.held;
    if (held.shards.empty() || m_announcedEpoch.load() > held.epoch)
        return NotHolder{};
    const HeldShard &shard = held.shards[hash % held.shards.size()];
    if (shard.isPaused || shard.starts == PlaceStarts{NeverUsed, NeverUsed})
        return NotHolder{};
    const auto position = stripe.organisations.find(organisation);
    if (position == stripe.organisations.end())
        return TokensRefused{};
    return take(stripe, position->second, tokens, maxWait, now);
}

std::optional<SteadyTime> ShardRateLimiter::pauseShards(std::uint64_t epoch,
                                                        std::span<const std::uint32_t> shards,
                                                        SteadyTime now)
{
    const std::scoped_lock tableLock(m_tableMutex);
    return pauseHeld(epoch, shards, now);
}

std::optional<SteadyTime> ShardRateLimiter::releaseShards(std::uint64_t epoch,
                                                          std::span<const std::uint32_t> shards,
                                                          SteadyTime now)
{
    const std::scoped_lock tableLock(m_tableMutex);
    const auto writeFrom = pauseHeld(epoch, shards, now);
    if (writeFrom)
        m_keepPausedEpoch = epoch;
    return writeFrom;
}

// Requires m_tableMutex to be locked.
std::optional<SteadyTime> ShardRateLimiter::pauseHeld(std::uint64_t epoch,
                                                      std::span<const std::uint32_t> shards,
                                                      SteadyTime now)
{
    if (epoch != m_held->epoch)
        return std::nullopt;
    auto paused = std::make_shared<HeldShards>(*m_held);
    for (const std::uint32_t shard : shards) {
        if (shard < paused->shards.size())
            paused->shards[shard].isPaused = true;
    }
    replaceHeld(std::move(paused));
    SteadyTime writeFrom = now;
    for (const Stripe &stripe : m_stripes) {
        const std::scoped_lock lock(stripe.mutex);
        writeFrom = std::max(writeFrom, stripe.lastDue);
    }
    return writeFrom;
}

void ShardRateLimiter::resumeShards(std::uint64_t epoch)
{
    const std::scoped_lock tableLock(m_tableMutex);
    if (epoch != m_held->epoch || m_keepPausedEpoch == epoch)
        return;
    auto resumed = std::make_shared<HeldShards>(*m_held);
    for (HeldShard &shard : resumed->shards)
        shard.isPaused = false;
    replaceHeld(std::move(resumed));
}

void ShardRateLimiter::keepPaused(std::uint64_t epoch)
{
    const std::scoped_lock tableLock(m_tableMutex);
    m_keepPausedEpoch = std::max(m_keepPausedEpoch, epoch);
}

std::vector<std::uint32_t> ShardRateLimiter::pendingTakeovers(SteadyTime now) const
{
    const std::scoped_lock tableLock(m_tableMutex);
    std::vector<std::uint32_t> pending;
    for (std::uint32_t index = 0; index < m_held->shards.size(); ++index) {
        const PlaceStarts &starts = m_held->shards[index].starts;
        if (std::ranges::any_of(starts, [now](auto s) { return s != NeverUsed && s > now; }))
            pending.push_back(index);
    }
    return pending;
}

void ShardRateLimiter::dropIdleBuckets(SteadyTime now)
{
    for (Stripe &stripe : m_stripes) {
        const std::scoped_lock lock(stripe.mutex);
        for (auto &[name, organisation] : stripe.organisations) {
            if (!organisation.bucket)
                continue;
            const ShareTimes times = timesOf(organisation, startsOf(organisation, *stripe.held));
            if (times.oneHalf > now || !bucketAt(organisation, times, now).isFull(now))
                continue;
            // A bucket without state is computed from the start of its share. It may be dropped
            // only if that result is full as well.
            auto bucket = std::exchange(organisation.bucket, nullptr);
            if (bucketAt(organisation, times, now).isFull(now))
                stripe.lastDrop = std::max({stripe.lastDrop, now, bucket->updatedAt()});
            else
                organisation.bucket = std::move(bucket);
        }
    }
}

std::size_t ShardRateLimiter::bucketCount() const
{
    std::size_t count = 0;
    for (const Stripe &stripe : m_stripes) {
        const std::scoped_lock lock(stripe.mutex);
        count += static_cast<std::size_t>(
                std::ranges::count_if(stripe.organisations, [](const auto &entry) {
                    return entry.second.bucket != nullptr;
                }));
    }
    return count;
}

ShareTimes ShardRateLimiter::timesOf(const Organisation &organisation, const PlaceStarts &starts)
{
    return shareTimes(starts, isUndivided(organisation.limit), organisation.knownSince,
                      organisation.divisionKnownSince);
}

PlaceStarts ShardRateLimiter::startsOf(const Organisation &organisation, const HeldShards &held)
{
    if (held.shards.empty())
        return {NeverUsed, NeverUsed};
    return held.shards[organisation.hash % held.shards.size()].starts;
}

TokenBucket ShardRateLimiter::bucketAt(const Organisation &organisation, const ShareTimes &times,
                                       SteadyTime time)
{
    const auto limitAt = [&](SteadyTime at) {
        return bucketShare(organisation.limit, halvesAt(times, at));
    };
    TokenBucket bucket = organisation.bucket ? *organisation.bucket
                                             : TokenBucket(limitAt(times.oneHalf), times.oneHalf);
    for (const SteadyTime change : {times.oneHalf, times.bothHalves}) {
        if (change > bucket.updatedAt() && change <= time)
            bucket.setLimit(limitAt(change), change);
    }
    return bucket;
}

// Carries a bucket over to a new table: it keeps the tokens of places that were held without
// interruption.
void ShardRateLimiter::carryBucketOver(Organisation &organisation, const HeldShards &before,
                                       const HeldShards &after, SteadyTime now)
{
    if (!organisation.bucket)
        return;
    PlaceStarts kept{NeverUsed, NeverUsed};
    if (before.shards.size() == after.shards.size()) {
        const std::size_t index = organisation.hash % after.shards.size();
        kept = keptStarts(before.shards[index], after.shards[index]);
    }
    const ShareTimes keptTimes = timesOf(organisation, kept);
    if (keptTimes.oneHalf == NeverUsed) {
        organisation.bucket.reset();
        return;
    }
    TokenBucket bucket =
            bucketAt(organisation, timesOf(organisation, startsOf(organisation, before)), now);
    const SteadyTime at = std::max(now, bucket.updatedAt());
    const ShareTimes times = timesOf(organisation, startsOf(organisation, after));
    bucket.setLimit(bucketShare(organisation.limit, halvesAt(keptTimes, at)), at);
    bucket.setLimit(bucketShare(organisation.limit, halvesAt(times, at)), at);
    *organisation.bucket = bucket;
}

LimitAnswer ShardRateLimiter::take(Stripe &stripe, Organisation &organisation, std::uint32_t tokens,
                                   std::chrono::milliseconds maxWait, SteadyTime now)
{
    const ShareTimes times = timesOf(organisation, startsOf(organisation, *stripe.held));
    if (times.oneHalf == NeverUsed)
        return NotHolder{};
    if (!organisation.bucket)
        now = std::max(now, stripe.lastDrop);
    const SteadyTime start = std::max(now, times.oneHalf);
    const auto untilStart = std::chrono::ceil<microseconds>(start - now);
    TokenBucket bucket = bucketAt(organisation, times, start);
    const auto answer = bucket.take(tokens, std::min(maxWait, MaxGrantWait) - untilStart, start);
    if (const auto *granted = std::get_if<TokensGranted>(&answer)) {
        stripe.lastDue = std::max(stripe.lastDue, granted->due);
        if (organisation.bucket)
            *organisation.bucket = bucket;
        else
            organisation.bucket = std::make_unique<TokenBucket>(bucket);
        return *granted;
    }
    auto retryAfter = std::get<TokensRefused>(answer).retryAfter;
    if (retryAfter)
        return TokensRefused{*retryAfter + untilStart};
    if (times.bothHalves > start && times.bothHalves != NeverUsed)
        return TokensRefused{std::chrono::ceil<microseconds>(times.bothHalves - now)};
    return TokensRefused{};
}

// The organisation may have been removed while grants of its former bucket were not due yet, so the
// new bucket starts after the last due time.
void ShardRateLimiter::add(Stripe &stripe, std::string_view name, const RateLimit &limit,
                           SteadyTime now)
{
    const SteadyTime start = std::max(now, stripe.lastDue);
    Organisation added{limit, stableHash(name), start, now, nullptr, m_generation};
    stripe.organisations.emplace(name, std::move(added));
}

void ShardRateLimiter::changeLimit(Stripe &stripe, Organisation &organisation,
                                   const RateLimit &limit, SteadyTime divisionKnownSince,
                                   SteadyTime now)
{
    const PlaceStarts starts = startsOf(organisation, *stripe.held);
    const ShareTimes before = timesOf(organisation, starts);
    // Without state, the bucket would be refilled at the new rate for the time before the change.
    const bool needsState =
            organisation.bucket || (organisation.limit != limit && before.oneHalf <= now);
    std::optional<TokenBucket> bucket;
    if (needsState)
        bucket = bucketAt(organisation, before, now);
    organisation.limit = limit;
    organisation.divisionKnownSince = divisionKnownSince;
    const ShareTimes after = timesOf(organisation, starts);
    if (!bucket || after.oneHalf == NeverUsed) {
        organisation.bucket.reset();
        return;
    }
    const SteadyTime at = std::max(now, bucket->updatedAt());
    bucket->setLimit(bucketShare(limit, halvesAt(after, at)), at);
    organisation.bucket = std::make_unique<TokenBucket>(*bucket);
}

void ShardRateLimiter::replaceHeld(std::shared_ptr<const HeldShards> held)
{
    m_held = std::move(held);
    for (Stripe &stripe : m_stripes) {
        const std::scoped_lock lock(stripe.mutex);
        stripe.held = m_held;
    }
}

} // namespace pistachiofall
