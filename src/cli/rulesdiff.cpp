#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/parsearguments.h"
#include "cli/readrulefile.h"
#include "cli/storeoptions.h"
#include "node/rulesstore.h"
#include "rules/ruledifference.h"

#include <iostream>

#include <tclap/UnlabeledValueArg.h>

namespace pistachiofall {

int runRulesDiff(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine(
            "Prints what applying a rule file would change, as lines with - and +.", ' ',
            VersionHint);
    TCLAP::UnlabeledValueArg<std::string> path("file", "rule file", true, "", "FILE", commandLine);
    StoreOptions options(commandLine);
    if (const auto earlyExit = parseArguments(commandLine, arguments))
        return *earlyExit;
    const auto opened = options.open(arguments);
    if (const int *exitCode = std::get_if<int>(&opened))
        return *exitCode;
    StoreSession &session = *std::get<0>(opened);
    const auto file = readRuleFile(path.getValue());
    if (!isOk(file))
        return reportFailure(errorOf(file).message);
    const auto rules = session.run(readRules(session.store(), {}));
    if (!isOk(rules))
        return reportFailure("the rules cannot be read: " + errorOf(rules).message);
    const RulesSnapshot &current = valueOf(rules).snapshot;
    const auto base = valueOf(file).baseVersion;
    if (base && *base != current.version)
        std::cerr << "the file is based on version " << *base << ", and version " << current.version
                  << " is in force; applying it will be rejected\n";
    const RuleDifference lines = difference(*current.rules, *valueOf(file).rules);
    std::cout << formatDifference(lines.removed, lines.added);
    return ExitDone;
}

} // namespace pistachiofall
