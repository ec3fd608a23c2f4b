#pragma once

#include "cli/command.h"

namespace pistachiofall {

/// Runs "load". Returns 0 after a run, whatever the responses were, 1 for an invalid scenario file,
/// and 2 for invalid arguments.
int runLoadCommand(const CommandArguments &arguments);

} // namespace pistachiofall
