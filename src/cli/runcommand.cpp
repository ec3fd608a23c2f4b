#include "cli/runcommand.h"

#include "cli/commandtable.h"
#include "cli/exitcode.h"

#include <algorithm>
#include <iostream>

namespace pistachiofall {

namespace {

void printUsage(std::ostream &out)
{
    std::size_t width = 0;
    for (const Command &command : commandTable())
        width = std::max(width, command.name.size());
    out << "usage: pistachiofall COMMAND [OPTIONS], or pistachiofall --version\n\ncommands:\n";
    for (const Command &command : commandTable())
        out << "  " << command.name << std::string(width - command.name.size() + 2, ' ')
            << command.help << '\n';
    out << "\n'pistachiofall COMMAND --help' shows the options of a command.\n";
}

/// Returns how many arguments form the name of the command; 0 if they do not start with the name.
std::size_t countMatchingWords(const Command &command, const CommandArguments &arguments)
{
    if (!arguments.empty() && command.name == arguments[0])
        return 1;
    if (arguments.size() >= 2 && command.name == arguments[0] + " " + arguments[1])
        return 2;
    return 0;
}

} // namespace

int runCommand(int argc, char **argv)
{
    const CommandArguments arguments(argv + std::min(argc, 1), argv + argc);
    for (const Command &command : commandTable()) {
        const std::size_t words = countMatchingWords(command, arguments);
        if (words == 0)
            continue;
        CommandArguments rest{"pistachiofall " + std::string(command.name)};
        rest.insert(rest.end(), arguments.begin() + static_cast<std::ptrdiff_t>(words),
                    arguments.end());
        return command.run(rest);
    }
    const bool isHelp = !arguments.empty()
            && (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help");
    if (!isHelp && !arguments.empty())
        std::cerr << "unknown command '" << arguments[0] << "'\n";
    printUsage(isHelp ? std::cout : std::cerr);
    return isHelp ? ExitDone : ExitUsage;
}

} // namespace pistachiofall
