#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace pistachiofall::tests {

/// A program under test. It is killed when the object goes out of scope.
class ChildProcess
{
public:
    /// Starts a program of the build folder. Standard output goes to a pipe that lines are read
    /// from; standard error goes to the file named, or is inherited when the name is empty.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &errorFile = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Reads lines until one starts with the prefix and returns the rest of it; empty after the
    /// timeout or the end of the output.
    std::string waitForLine(const std::string &prefix, std::chrono::milliseconds timeout);

    void signal(int number) const;
    /// Waits for the end and returns the exit code, 128 + N for signal N, or -1 at the timeout.
    int wait(std::chrono::milliseconds timeout);
    void kill();
    bool isRunning();
    pid_t pid() const { return m_pid; }
    /// The most memory that the process has had so far; -1 when it has ended.
    int peakMegabytes() const;

    /// All that the program has written so far and until its end, when it has ended.
    std::string readAll(std::chrono::milliseconds timeout);

private:
    bool readMore(std::chrono::milliseconds timeout);

    pid_t m_pid = -1;
    int m_output = -1;
    int m_exitCode = -1;
    std::string m_buffer;
};

} // namespace pistachiofall::tests
