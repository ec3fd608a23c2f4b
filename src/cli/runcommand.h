#pragma once

namespace pistachiofall {

/// Runs the subcommand named by the command line, and returns the exit code of the process: 0 for
/// success, 1 for rejected input or a failure, 2 for a usage error, 3 for a conflicting change.
int runCommand(int argc, char **argv);

} // namespace pistachiofall
