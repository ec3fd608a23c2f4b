#pragma once

namespace pistachiofall {

class DecisionLog;

/// Makes a fatal signal (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT) leave a last line "crashed" with
/// the signal and the call stack, after the lines that the log still holds. The process then ends
/// by the signal as it would without this. The frames are addresses within the executable, as
/// addr2line takes them.
///
/// Call it once; the log must live until the process ends or another log is set.
void installCrashReport(const DecisionLog &log, int fileDescriptor = 1);

/// Call it before the log named in installCrashReport() ends.
void forgetCrashLog();

} // namespace pistachiofall
