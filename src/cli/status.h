#pragma once

#include "cli/command.h"

namespace pistachiofall {

/// Runs "status". Returns 0 when all listed instances answer with the same rule version and table
/// epoch, 1 when they do not or none is listed, and 2 for a usage error or when the instance list
/// cannot be read.
int runStatus(const CommandArguments &arguments);

} // namespace pistachiofall
