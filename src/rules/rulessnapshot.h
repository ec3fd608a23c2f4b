#pragma once

#include "base/result.h"
#include "rules/changeorigin.h"
#include "rules/rulesdelta.h"
#include "rules/ruleset.h"
#include "rules/ruleshead.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pistachiofall {

/// The rules at one version, with the newest changes that led to it as far as they are known.
struct RulesSnapshot
{
    std::uint64_t version = 0;
    ChangeOrigin origin;
    /// Never null.
    RuleSet::Ptr rules = std::make_shared<const RuleSet>();
    /// Without gaps, the newest last; may be empty.
    std::vector<RulesDelta::Ptr> deltas;
};

/// The snapshot after the changes that are newer than it. Conflict when the last change is older
/// than the snapshot; NotFound when a change in between is missing; ProtocolError for a change that
/// does not fit.
Result<RulesSnapshot> applyDeltas(const RulesSnapshot &current,
                                  const std::vector<RulesDelta::Ptr> &deltas);

/// Brings a snapshot to the version of a head. NotFound when the head no longer has the changes in
/// between; then its segments have to be read.
Result<RulesSnapshot> followHead(const RulesSnapshot &current, const RulesHead &head);

/// The names of the segments to read, without the empty ones.
std::vector<std::string> segmentNames(const RulesHead &head);

/// Makes the snapshot of a head from the data of its segments, in the order of segmentNames.
Result<RulesSnapshot> readSegments(const RulesHead &head, const std::vector<std::string> &data);

} // namespace pistachiofall
