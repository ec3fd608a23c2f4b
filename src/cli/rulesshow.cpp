#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/parsearguments.h"
#include "cli/storeoptions.h"
#include "node/rulesstore.h"
#include "rules/rulefile.h"

#include <iostream>

namespace pistachiofall {

int runRulesShow(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine("Prints the rules in force. The output is a rule file whose header "
                               "'# version N' lets 'rules apply' find changes made in between.",
                               ' ', VersionHint);
    StoreOptions options(commandLine);
    if (const auto earlyExit = parseArguments(commandLine, arguments))
        return *earlyExit;
    const auto opened = options.open(arguments);
    if (const int *exitCode = std::get_if<int>(&opened))
        return *exitCode;
    StoreSession &session = *std::get<0>(opened);
    const auto rules = session.run(readRules(session.store(), {}));
    if (!isOk(rules))
        return reportFailure("the rules cannot be read: " + errorOf(rules).message);
    std::cout << formatRuleFile(valueOf(rules).snapshot);
    return ExitDone;
}

} // namespace pistachiofall
