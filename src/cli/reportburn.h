#pragma once

#include "cli/command.h"

namespace pistachiofall {

/// Runs "report burn". Returns 0 when no burn rate exceeds --max-burn, 1 when one does, and 2 when
/// no report can be made.
int runReportBurn(const CommandArguments &arguments);

} // namespace pistachiofall
