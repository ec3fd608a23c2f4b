#pragma once

#include <functional>
#include <string>
#include <vector>

namespace pistachiofall::testing {

/// The output and the exit code of a command.
struct CommandRun
{
    int exitCode = -1;
    std::string out;
    std::string err;
};

/// Calls the function and captures what this thread writes to standard output and standard error.
/// Safe to call from several threads at the same time.
CommandRun collectOutput(const std::function<int()> &function);

/// Runs a subcommand. Not thread-safe, because TCLAP is not.
CommandRun runPistachiofall(std::vector<std::string> arguments);

/// A file with the given text in the directory for temporary files. The destructor removes it.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text);
    ~TemporaryFile();
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace pistachiofall::testing
