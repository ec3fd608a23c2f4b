#pragma once

#include "cli/command.h"

#include <span>

namespace pistachiofall {

/// Returns all subcommands in the order of the usage text.
std::span<const Command> commandTable();

} // namespace pistachiofall
