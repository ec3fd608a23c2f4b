#include "rules/rulessnapshot.h"

#include "rules/rulessegment.h"
#include "rules/rulestoragelimits.h"

#include <iterator>
#include <utility>

namespace pistachiofall {

namespace {

Error lowerVersion(std::uint64_t offered, std::uint64_t current)
{
    return {ErrorCode::Conflict,
            "rules version " + std::to_string(offered) + " is lower than version "
                    + std::to_string(current) + ", which is in force"};
}

} // namespace

Result<RulesSnapshot> applyDeltas(const RulesSnapshot &current,
                                  const std::vector<RulesDelta::Ptr> &deltas)
{
    if (!deltas.empty() && deltas.back()->version < current.version)
        return lowerVersion(deltas.back()->version, current.version);
    RulesSnapshot next = current;
    for (const auto &delta : deltas) {
        if (delta->version <= next.version)
            continue;
        if (delta->version != next.version + 1)
            return Error{ErrorCode::NotFound,
                         "the change to rules version " + std::to_string(next.version + 1)
                                 + " is missing"};
        auto rules = next.rules->apply(delta->removed, delta->added);
        if (!isOk(rules))
            return Error{ErrorCode::ProtocolError,
                         "rules version " + std::to_string(delta->version) + ": "
                                 + errorOf(rules).message};
        next.rules = valueOf(std::move(rules));
        next.version = delta->version;
        next.origin = delta->origin;
        next.deltas.push_back(delta);
    }
    trimDeltas(next.deltas, next.version, RuleStorageLimits{}.deltaBytes);
    return next;
}

Result<RulesSnapshot> followHead(const RulesSnapshot &current, const RulesHead &head)
{
    if (head.version < current.version)
        return lowerVersion(head.version, current.version);
    auto next = applyDeltas(current, head.deltas);
    if (isOk(next) && valueOf(next).version != head.version)
        return Error{ErrorCode::NotFound,
                     "the head has no changes since rules version "
                             + std::to_string(current.version)};
    return next;
}

std::vector<std::string> segmentNames(const RulesHead &head)
{
    std::vector<std::string> names;
    for (const std::string &name : head.segments) {
        if (!name.empty())
            names.push_back(name);
    }
    return names;
}

Result<RulesSnapshot> readSegments(const RulesHead &head, const std::vector<std::string> &data)
{
    const std::vector<std::string> names = segmentNames(head);
    if (names.size() != data.size())
        return Error{ErrorCode::InvalidArgument,
                     "the head has " + std::to_string(names.size()) + " segments, not "
                             + std::to_string(data.size())};
    std::vector<std::string> lines;
    for (std::size_t index = 0; index < names.size(); ++index) {
        auto part = decodeRulesSegment(names[index], data[index]);
        if (!isOk(part))
            return errorOf(part);
        std::move(valueOf(part).begin(), valueOf(part).end(), std::back_inserter(lines));
    }
    auto rules = RuleSet::create(lines);
    if (!isOk(rules))
        return Error{ErrorCode::ProtocolError, "rules segments: " + errorOf(rules).message};
    RulesSnapshot base;
    base.version = head.baseVersion;
    base.rules = valueOf(std::move(rules));
    if (head.baseVersion == head.version)
        base.origin = head.origin;
    auto snapshot = followHead(base, head);
    if (isOk(snapshot))
        valueOf(snapshot).deltas = head.deltas;
    return snapshot;
}

} // namespace pistachiofall
