#pragma once

#include "rules/ruleshead.h"
#include "rules/rulessnapshot.h"

#include <string>

namespace pistachiofall {

/// The rules as they were read from the store.
struct StoredRules
{
    RulesHead head;
    RulesSnapshot snapshot;
    /// The version of the head object, for a conditional update. Empty when there is no head yet.
    std::string objectVersion;
};

} // namespace pistachiofall
