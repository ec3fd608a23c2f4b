#pragma once

#include "cli/storesession.h"
#include "rules/changeorigin.h"
#include "rules/rulefile.h"

#include <chrono>
#include <optional>

namespace pistachiofall {

/// The arguments of "rules apply".
struct ApplyRequest
{
    RuleFile file;
    ChangeOrigin origin;
    /// How long to wait for all instances; empty to return without waiting.
    std::optional<std::chrono::milliseconds> wait;
};

/// Applies the file if its base version is still the version in force, and prints the outcome.
/// Returns the exit code: ExitConflict when another change was applied since the base version.
int applyRules(StoreSession &session, const ApplyRequest &request);

} // namespace pistachiofall
