#pragma once

#include "base/result.h"
#include "rules/changeorigin.h"
#include "rules/ruleset.h"
#include "rules/ruleshead.h"
#include "rules/rulessegment.h"
#include "rules/rulessnapshot.h"
#include "rules/rulestoragelimits.h"

#include <optional>
#include <vector>

namespace pistachiofall {

/// A change that is ready to be stored: first the segments, then the head.
struct RulesChange
{
    RulesHead head;
    /// Empty unless the changes outgrew the head.
    std::vector<RulesSegment> segments;
    /// Also when the head does not keep it, because it is large.
    RulesDelta::Ptr delta;
};

/// Plans the change from the current rules to the wanted ones. Nothing when they are equal. The
/// head must be the one of the current rules. InvalidArgument when a part grows too large to be
/// stored.
Result<std::optional<RulesChange>> planChange(const RulesHead &head, const RulesSnapshot &current,
                                              const RuleSet &wanted, const ChangeOrigin &origin,
                                              const RuleStorageLimits &limits = {});

} // namespace pistachiofall
