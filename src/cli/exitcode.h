#pragma once

namespace pistachiofall {

/// The exit status of the process.
enum ExitCode : int {
    ExitDone = 0,
    /// The input was rejected, or the work failed.
    ExitFailed = 1,
    ExitUsage = 2,
    /// Another change was applied since the base version of the file.
    ExitConflict = 3,
};

} // namespace pistachiofall
