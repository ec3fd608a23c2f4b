#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/parsearguments.h"
#include "cli/readrulefile.h"

#include <iostream>

#include <tclap/UnlabeledValueArg.h>

namespace pistachiofall {

int runRulesCheck(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine("Checks a rule file without the store and reports all errors.", ' ',
                               VersionHint);
    TCLAP::UnlabeledValueArg<std::string> path("file", "rule file", true, "", "FILE", commandLine);
    if (const auto earlyExit = parseArguments(commandLine, arguments))
        return *earlyExit;
    const auto file = readRuleFile(path.getValue());
    if (!isOk(file))
        return reportFailure(errorOf(file).message);
    std::cout << path.getValue() << ": " << valueOf(file).rules->size() << " rules, no faults\n";
    return ExitDone;
}

} // namespace pistachiofall
