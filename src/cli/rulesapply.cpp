#include "cli/applyrules.h"
#include "cli/commands.h"
#include "cli/operatorname.h"
#include "cli/parsearguments.h"
#include "cli/readrulefile.h"
#include "cli/storeoptions.h"

#include <tclap/SwitchArg.h>
#include <tclap/UnlabeledValueArg.h>

namespace pistachiofall {

namespace {

/// All instances must apply a change within 11 s; the rest allows for a stale instance list.
constexpr unsigned DefaultWaitMilliseconds = 30'000;
constexpr unsigned MaxWaitMilliseconds = 3'600'000;

} // namespace

int runRulesApply(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine(
            "Puts a rule file in force. A header '# version N' makes version N the "
            "base: when another version is in force, nothing is applied.",
            ' ', VersionHint);
    TCLAP::UnlabeledValueArg<std::string> path("file", "rule file", true, "", "FILE", commandLine);
    TCLAP::ValueArg<std::string> author("", "author", "who applies it; the user when left out",
                                        false, "", "NAME", commandLine);
    TCLAP::SwitchArg wait("", "wait", "wait until all listed instances have the version",
                          commandLine);
    TCLAP::ValueArg<unsigned> waitTimeout("", "wait-timeout-ms", "how long to wait", false,
                                          DefaultWaitMilliseconds, "N", commandLine);
    StoreOptions options(commandLine);
    if (const auto earlyExit = parseArguments(commandLine, arguments))
        return *earlyExit;
    if (waitTimeout.getValue() > MaxWaitMilliseconds)
        return reportUsageError(arguments,
                                "--wait-timeout-ms is not accepted; accepted: up to "
                                        + std::to_string(MaxWaitMilliseconds));
    const auto opened = options.open(arguments);
    if (const int *exitCode = std::get_if<int>(&opened))
        return *exitCode;
    StoreSession &session = *std::get<0>(opened);
    const auto origin = makeChangeOrigin(author.isSet() ? author.getValue() : operatorName(),
                                         SystemClock().wallNow());
    if (!isOk(origin))
        return reportUsageError(arguments, errorOf(origin).message);
    auto file = readRuleFile(path.getValue());
    if (!isOk(file))
        return reportFailure(errorOf(file).message);
    ApplyRequest request{valueOf(std::move(file)), valueOf(origin), std::nullopt};
    if (wait.getValue())
        request.wait = std::chrono::milliseconds{waitTimeout.getValue()};
    return applyRules(session, request);
}

} // namespace pistachiofall
