#include "node/rulesstore.h"

#include "rules/rulessegment.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

using std::chrono::steady_clock;

constexpr const char *KindLabel = "kind";
constexpr const char *SegmentKind = "rules-segment";
constexpr const char *VersionLabel = "rules-version";
constexpr std::chrono::milliseconds RetryPause{200};

asio::awaitable<void> pause(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool mayHaveTakenEffect(ErrorCode code)
{
    return code == ErrorCode::TimedOut || code == ErrorCode::OutcomeUnknown;
}

bool isWorthRetrying(ErrorCode code)
{
    return code == ErrorCode::Unavailable || mayHaveTakenEffect(code);
}

std::string segmentSelector()
{
    return std::string(KindLabel) + "=" + SegmentKind;
}

StoredObject toObject(const RulesSegment &segment)
{
    StoredObject object;
    object.name = segment.name;
    object.labels = {{KindLabel, SegmentKind}, {VersionLabel, std::to_string(segment.version)}};
    object.data = segment.data;
    return object;
}

/// Nothing when the list lacks a segment, as one that was removed since the head was read.
std::optional<std::vector<std::string>> pickSegments(ObjectList &&list, const RulesHead &head)
{
    std::map<std::string, std::string> byName;
    for (StoredObject &object : list.objects)
        byName.emplace(std::move(object.name), std::move(object.data));
    std::vector<std::string> data;
    for (const std::string &name : segmentNames(head)) {
        const auto found = byName.find(name);
        if (found == byName.end())
            return std::nullopt;
        data.push_back(std::move(found->second));
    }
    return data;
}

/// NotFound when the head was replaced while its segments were read.
asio::awaitable<Result<RulesSnapshot>> readAllSegments(std::shared_ptr<ObjectStore> store,
                                                       const RulesHead &head)
{
    ObjectList list;
    if (!segmentNames(head).empty()) {
        auto listed = co_await store->list(segmentSelector());
        if (!isOk(listed))
            co_return errorOf(listed);
        list = valueOf(std::move(listed));
    }
    const auto data = pickSegments(std::move(list), head);
    if (!data)
        co_return Error{ErrorCode::NotFound,
                        "segments of rules version " + std::to_string(head.version)
                                + " are missing"};
    co_return readSegments(head, *data);
}

asio::awaitable<Result<StoredRules>> readOnce(std::shared_ptr<ObjectStore> store,
                                              const RulesSnapshot &known)
{
    auto object = co_await store->get(std::string(RulesHeadName));
    if (!isOk(object) && errorOf(object).code == ErrorCode::NotFound && known.version == 0)
        co_return StoredRules{};
    if (!isOk(object))
        co_return errorOf(object);
    auto head = decodeRulesHead(valueOf(object).data);
    if (!isOk(head))
        co_return errorOf(head);
    auto snapshot = followHead(known, valueOf(head));
    if (!isOk(snapshot) && errorOf(snapshot).code == ErrorCode::NotFound)
        snapshot = co_await readAllSegments(store, valueOf(head));
    if (!isOk(snapshot))
        co_return errorOf(snapshot);
    co_return StoredRules{valueOf(std::move(head)), valueOf(std::move(snapshot)),
                          valueOf(object).version};
}

asio::awaitable<Result<Done>> createSegment(std::shared_ptr<ObjectStore> store, const Clock &clock,
                                            const RulesSegment &segment,
                                            steady_clock::time_point deadline)
{
    for (;;) {
        const auto created = co_await store->create(toObject(segment));
        // The name is a hash of the content, so what is there already is the same.
        if (isOk(created) || errorOf(created).code == ErrorCode::AlreadyExists)
            co_return Done{};
        if (!isWorthRetrying(errorOf(created).code))
            co_return errorOf(created);
        if (clock.now() + RetryPause >= deadline)
            co_return Error{ErrorCode::Unavailable, errorOf(created).message};
        co_await pause(RetryPause);
    }
}

/// What a head that was read back says about a change.
enum class CommitState {
    Committed,
    /// Another change has the version.
    Lost,
    /// The version does not exist yet.
    Pending,
    /// The head is newer and no longer has the change of the version.
    Unknown,
};

CommitState commitState(const RulesHead &head, const RulesHead &wanted)
{
    if (head.version < wanted.version)
        return CommitState::Pending;
    if (head.version == wanted.version)
        return head.origin.id == wanted.origin.id ? CommitState::Committed : CommitState::Lost;
    for (const auto &delta : head.deltas) {
        if (delta->version == wanted.version)
            return delta->origin.id == wanted.origin.id ? CommitState::Committed
                                                        : CommitState::Lost;
    }
    return CommitState::Unknown;
}

asio::awaitable<Result<CommitState>> readBack(std::shared_ptr<ObjectStore> store,
                                              const RulesHead &wanted)
{
    const auto object = co_await store->get(std::string(RulesHeadName));
    if (!isOk(object) && errorOf(object).code == ErrorCode::NotFound)
        co_return CommitState::Pending;
    if (!isOk(object))
        co_return errorOf(object);
    const auto head = decodeRulesHead(valueOf(object).data);
    if (!isOk(head))
        co_return errorOf(head);
    co_return commitState(valueOf(head), wanted);
}

asio::awaitable<Result<StoredObject>> writeHead(std::shared_ptr<ObjectStore> store,
                                                const RulesHead &head,
                                                const std::string &objectVersion)
{
    StoredObject object;
    object.name = RulesHeadName;
    object.version = objectVersion;
    object.data = encodeRulesHead(head);
    if (objectVersion.empty())
        co_return co_await store->create(std::move(object));
    co_return co_await store->update(std::move(object));
}

Error lostRace(std::uint64_t version)
{
    return {ErrorCode::Conflict,
            "rules version " + std::to_string(version) + " was made by somebody else"};
}

Error outOfTime(bool isUncertain, std::uint64_t version, const std::string &cause)
{
    if (isUncertain)
        return {ErrorCode::TimedOut,
                "whether rules version " + std::to_string(version)
                        + " was applied is not known: " + cause};
    return {ErrorCode::Unavailable, "nothing was applied: " + cause};
}

/// Repeats the conditional update until its outcome is known. Repeating is safe: of several updates
/// with the same condition at most one takes effect.
asio::awaitable<Result<Done>> commitHead(std::shared_ptr<ObjectStore> store, const Clock &clock,
                                         const RulesHead &head, const std::string &objectVersion,
                                         steady_clock::time_point deadline)
{
    bool isUncertain = false;
    for (;;) {
        const auto written = co_await writeHead(store, head, objectVersion);
        if (isOk(written))
            co_return Done{};
        Error cause = errorOf(written);
        isUncertain = isUncertain || mayHaveTakenEffect(cause.code);
        // Its own update may be the one that this one conflicts with.
        const bool isRefused = cause.code == ErrorCode::Conflict
                || cause.code == ErrorCode::AlreadyExists || cause.code == ErrorCode::NotFound;
        if (!isRefused && !isWorthRetrying(cause.code))
            co_return isUncertain ? outOfTime(true, head.version, cause.message) : cause;
        if (isRefused || isUncertain) {
            const auto state = co_await readBack(store, head);
            if (!isOk(state))
                cause = errorOf(state);
            else if (valueOf(state) == CommitState::Committed)
                co_return Done{};
            else if (valueOf(state) == CommitState::Lost
                     || (valueOf(state) == CommitState::Unknown && !isUncertain))
                co_return lostRace(head.version);
            else if (valueOf(state) == CommitState::Unknown)
                co_return outOfTime(true, head.version, "newer versions came since");
        }
        if (clock.now() + RetryPause >= deadline)
            co_return outOfTime(isUncertain, head.version, cause.message);
        co_await pause(RetryPause);
    }
}

std::optional<std::uint64_t> versionLabel(const StoredObject &object)
{
    const auto label = object.labels.find(VersionLabel);
    if (label == object.labels.end())
        return std::nullopt;
    std::uint64_t version = 0;
    const char *end = label->second.data() + label->second.size();
    const auto parsed = std::from_chars(label->second.data(), end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return version;
}

} // namespace

asio::awaitable<Result<StoredRules>> readRules(std::shared_ptr<ObjectStore> store,
                                               RulesSnapshot known)
{
    constexpr int MaxTries = 3;
    for (int attempt = 1;; ++attempt) {
        auto rules = co_await readOnce(store, known);
        // Segments are removed after the head that replaces them is committed.
        const bool isOutdated = !isOk(rules) && errorOf(rules).code == ErrorCode::NotFound;
        if (!isOutdated || attempt == MaxTries)
            co_return rules;
    }
}

asio::awaitable<Result<Done>> commitRules(std::shared_ptr<ObjectStore> store, const Clock &clock,
                                          RulesChange change, std::string objectVersion,
                                          std::chrono::milliseconds timeout)
{
    const auto deadline = clock.now() + timeout;
    for (const RulesSegment &segment : change.segments) {
        auto created = co_await createSegment(store, clock, segment, deadline);
        if (!isOk(created))
            co_return created;
    }
    co_return co_await commitHead(store, clock, change.head, objectVersion, deadline);
}

asio::awaitable<Result<Done>> removeUnusedSegments(std::shared_ptr<ObjectStore> store,
                                                   RulesHead head)
{
    const auto listed = co_await store->list(segmentSelector());
    if (!isOk(listed))
        co_return errorOf(listed);
    for (const StoredObject &object : valueOf(listed).objects) {
        // A segment of a later version may be about to be named by the head of that version.
        const auto version = versionLabel(object);
        const bool isNamed = std::find(head.segments.begin(), head.segments.end(), object.name)
                != head.segments.end();
        if (!version || *version > head.version || isNamed)
            continue;
        const auto removed = co_await store->remove(object.name, object.version);
        if (!isOk(removed) && errorOf(removed).code != ErrorCode::NotFound)
            co_return errorOf(removed);
    }
    co_return Done{};
}

} // namespace pistachiofall
