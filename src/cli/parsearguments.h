#pragma once

#include "cli/command.h"

#include <optional>
#include <string>

#include <tclap/CmdLine.h>

namespace pistachiofall {

/// The output of --version of a subcommand, an option that TCLAP always adds along with --help.
inline constexpr const char *VersionHint = "see 'pistachiofall --version'";

/// Parses the arguments into the options of the command line. Returns an exit code when the command
/// must exit immediately: after --help, or after a usage error, which has been reported.
std::optional<int> parseArguments(TCLAP::CmdLine &commandLine, const CommandArguments &arguments);

/// Prints a usage error to standard error and returns ExitUsage.
int reportUsageError(const CommandArguments &arguments, const std::string &message);

/// Prints an error message to standard error and returns ExitFailed.
int reportFailure(const std::string &message);

} // namespace pistachiofall
