#include "rules/ruleschange.h"

#include "rules/ruledifference.h"
#include "rules/rulepartition.h"

#include <utility>

namespace pistachiofall {

namespace {

std::size_t bytesSinceBase(const RulesHead &head)
{
    std::size_t bytes = 0;
    for (const auto &delta : head.deltas)
        bytes += delta->version > head.baseVersion ? lineBytes(*delta) : 0;
    return bytes;
}

/// Which of the segments the changes since the base touch.
std::vector<bool> touchedSegments(const RulesHead &head, std::size_t count)
{
    std::vector<bool> isTouched(count, false);
    for (const auto &delta : head.deltas) {
        if (delta->version <= head.baseVersion)
            continue;
        for (const auto *lines : {&delta->removed, &delta->added}) {
            for (const std::string &line : *lines)
                isTouched[detail::segmentOf(line, count)] = true;
        }
    }
    return isTouched;
}

/// Makes the version of the head its base. Segments that no change touched keep their name.
Result<std::vector<RulesSegment>> rebase(RulesHead &head, const RuleSet &rules,
                                         const RuleStorageLimits &limits)
{
    const std::vector<std::string> lines = rules.lines();
    const std::size_t count =
            detail::segmentCount(lines, head.segments.size(), limits.segmentBytes);
    const auto parts = detail::partition(lines, count);
    const bool keepsCount = count == head.segments.size();
    const auto isTouched = touchedSegments(head, count);
    head.segments.resize(count);
    std::vector<RulesSegment> written;
    for (std::size_t index = 0; index < count; ++index) {
        if (keepsCount && !isTouched[index])
            continue;
        head.segments[index].clear();
        if (parts[index].empty())
            continue;
        RulesSegment segment = encodeRulesSegment(head.version, parts[index]);
        if (segment.data.size() > MaxStoredValueBytes)
            return Error{ErrorCode::InvalidArgument,
                         "a segment of the rules takes " + std::to_string(segment.data.size())
                                 + " bytes; accepted: up to " + std::to_string(MaxStoredValueBytes)
                                 + ", which an organisation with too many keys can exceed"};
        head.segments[index] = segment.name;
        written.push_back(std::move(segment));
    }
    head.baseVersion = head.version;
    return written;
}

} // namespace

Result<std::optional<RulesChange>> planChange(const RulesHead &head, const RulesSnapshot &current,
                                              const RuleSet &wanted, const ChangeOrigin &origin,
                                              const RuleStorageLimits &limits)
{
    if (head.version != current.version)
        return Error{ErrorCode::InvalidArgument,
                     "the head has rules version " + std::to_string(head.version)
                             + ", the current rules have version "
                             + std::to_string(current.version)};
    RuleDifference lines = difference(*current.rules, wanted);
    if (lines.isEmpty())
        return std::optional<RulesChange>{};
    auto delta = std::make_shared<RulesDelta>();
    delta->version = head.version + 1;
    delta->origin = origin;
    delta->removed = std::move(lines.removed);
    delta->added = std::move(lines.added);
    RulesChange change{head, {}, delta};
    change.head.version = delta->version;
    change.head.origin = origin;
    change.head.deltas.push_back(std::move(delta));
    if (bytesSinceBase(change.head) > limits.deltaBytes) {
        auto segments = rebase(change.head, wanted, limits);
        if (!isOk(segments))
            return errorOf(segments);
        change.segments = valueOf(std::move(segments));
        trimDeltas(change.head.deltas, change.head.baseVersion, limits.historyBytes);
    }
    return std::optional<RulesChange>(std::move(change));
}

} // namespace pistachiofall
