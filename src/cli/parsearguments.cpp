#include "cli/parsearguments.h"

#include "cli/exitcode.h"

#include <iostream>

namespace pistachiofall {

std::optional<int> parseArguments(TCLAP::CmdLine &commandLine, const CommandArguments &arguments)
{
    commandLine.setExceptionHandling(false);
    CommandArguments copy = arguments;
    try {
        commandLine.parse(copy);
        return std::nullopt;
    } catch (const TCLAP::ArgException &error) {
        // TCLAP sets the id to a blank when the message already names the argument.
        const bool hasId = error.argId().find_first_not_of(' ') != std::string::npos;
        return reportUsageError(arguments,
                                error.error() + (hasId ? " (" + error.argId() + ")" : ""));
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? ExitDone : ExitUsage;
    }
}

int reportUsageError(const CommandArguments &arguments, const std::string &message)
{
    std::cerr << message << "\n'" << arguments.front() << " --help' shows the options.\n";
    return ExitUsage;
}

int reportFailure(const std::string &message)
{
    std::cerr << message << '\n';
    return ExitFailed;
}

} // namespace pistachiofall
