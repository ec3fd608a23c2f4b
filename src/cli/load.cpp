#include "cli/load.h"

#include "cli/exitcode.h"
#include "cli/loadlimits.h"
#include "cli/loadrun.h"
#include "cli/loadscenario.h"
#include "cli/loadtext.h"
#include "cli/parsearguments.h"

#include <iostream>

namespace pistachiofall {

using std::chrono::milliseconds;

namespace {

using NumberArgument = TCLAP::ValueArg<int>;

/// The options of "load".
struct LoadArguments
{
    TCLAP::CmdLine commandLine{
            "Sends requests at fixed rates, whatever the response times: those of a "
            "scenario file, or chat completions of the flows named here",
            ' ', VersionHint};
    TCLAP::ValueArg<std::string> scenario{
            "",     "scenario", "what to send, instead of the other options", false, "",
            "FILE", commandLine};
    TCLAP::MultiArg<std::string> addresses{"",    "address", "a listener for callers",
                                           false, "IP:PORT", commandLine};
    TCLAP::MultiArg<std::string> flows{"",
                                       "flow",
                                       "requests with one key; a key @FILE is read from the file",
                                       false,
                                       "KEY:RATE:MODEL[:stream]",
                                       commandLine};
    NumberArgument duration{"", "duration-ms", "how long to send", false, 10000, "MS", commandLine};
    NumberArgument timeout{"", "timeout-ms", "for one request", false, 30000, "MS", commandLine};
    NumberArgument seed{"", "seed", "of the send times", false, 1, "NUMBER", commandLine};
    NumberArgument connections{"",   "max-connections", "open at once", false,
                               1000, "NUMBER",          commandLine};
    NumberArgument tokens{"", "max-tokens", "of each answer", false, 32, "NUMBER", commandLine};
    TCLAP::SwitchArg isJson{"", "json", "print JSON", commandLine};
};

Result<Done> checkRange(const NumberArgument &argument, std::int64_t highest)
{
    if (argument.getValue() >= 1 && argument.getValue() <= highest)
        return Done{};
    return Error{ErrorCode::InvalidArgument,
                 "--" + argument.getName() + " takes 1 to " + std::to_string(highest)};
}

Result<Done> checkRanges(const LoadArguments &arguments)
{
    for (const auto &checked : {checkRange(arguments.duration, MaxLoadDurationMs),
                                checkRange(arguments.timeout, MaxLoadDurationMs),
                                checkRange(arguments.connections, MaxLoadConnections),
                                checkRange(arguments.tokens, MaxLoadTokens)}) {
        if (!isOk(checked))
            return errorOf(checked);
    }
    return Done{};
}

Result<Done> addTargets(LoadOptions &load, const LoadArguments &arguments)
{
    if (arguments.addresses.getValue().empty() || arguments.flows.getValue().empty())
        return Error{ErrorCode::InvalidArgument, "--scenario, or --address and --flow, are needed"};
    for (const std::string &text : arguments.addresses.getValue()) {
        const auto address = SocketAddress::parse(text);
        if (!isOk(address))
            return errorOf(address);
        load.addresses.push_back(valueOf(address));
    }
    double requests = 0;
    for (const std::string &text : arguments.flows.getValue()) {
        auto flow = parseLoadFlow(text);
        if (!isOk(flow))
            return errorOf(flow);
        load.flows.push_back(valueOf(std::move(flow)));
        requests += load.flows.back().ratePerSecond
                * std::chrono::duration<double>(load.duration).count();
    }
    if (requests > MaxLoadRequests)
        return Error{ErrorCode::InvalidArgument, "a run sends at most 10 million requests"};
    return Done{};
}

Result<LoadOptions> optionsOf(const LoadArguments &arguments)
{
    const auto checked = checkRanges(arguments);
    if (!isOk(checked))
        return errorOf(checked);
    LoadOptions load;
    load.duration = milliseconds{arguments.duration.getValue()};
    load.timeout = milliseconds{arguments.timeout.getValue()};
    load.seed = static_cast<std::uint64_t>(arguments.seed.getValue());
    load.maxConnections = static_cast<std::size_t>(arguments.connections.getValue());
    load.maxTokens = arguments.tokens.getValue();
    const auto added = addTargets(load, arguments);
    if (!isOk(added))
        return errorOf(added);
    return load;
}

// Whether options are set that a scenario file would silently override.
bool hasScenarioConflict(const LoadArguments &arguments)
{
    return arguments.addresses.isSet() || arguments.flows.isSet() || arguments.duration.isSet()
            || arguments.timeout.isSet() || arguments.seed.isSet() || arguments.connections.isSet()
            || arguments.tokens.isSet();
}

} // namespace

int runLoadCommand(const CommandArguments &commandArguments)
{
    LoadArguments arguments;
    if (const auto earlyExit = parseArguments(arguments.commandLine, commandArguments))
        return *earlyExit;
    const bool hasScenario = arguments.scenario.isSet();
    if (hasScenario && hasScenarioConflict(arguments))
        return reportUsageError(commandArguments, "--scenario can only be combined with --json");
    const auto options =
            hasScenario ? loadScenario(arguments.scenario.getValue()) : optionsOf(arguments);
    if (!isOk(options)) {
        const std::string &message = errorOf(options).message;
        return hasScenario ? reportFailure(message) : reportUsageError(commandArguments, message);
    }
    const LoadOptions &load = valueOf(options);
    const LoadReport report = runLoadWithBatches(load);
    if (arguments.isJson.getValue()) {
        std::cout << formatLoadJson(load.flows, report.flows, load.batches, report.batches);
    } else {
        std::cout << formatLoadTable(load.flows, report.flows)
                  << formatBatchTable(load.batches, report.batches);
    }
    return ExitDone;
}

} // namespace pistachiofall
