#include "cli/reportburn.h"

#include "cli/burntext.h"
#include "cli/exitcode.h"
#include "cli/pagefetch.h"
#include "cli/parsearguments.h"
#include "cli/storeoptions.h"
#include "settings/loadsettings.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

#include <tclap/CmdLine.h>

namespace pistachiofall {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds FetchTimeout{3000};
constexpr int DefaultWindowMilliseconds = 10'000;
constexpr int MaxWindowMilliseconds = 3'600'000;

struct BurnArguments
{
    TCLAP::CmdLine commandLine{"Shows how fast each objective uses up its error budget.", ' ',
                               VersionHint};
    TCLAP::ValueArg<int> window{
            "",  "window-ms", "time between the readings", false, DefaultWindowMilliseconds,
            "N", commandLine};
    TCLAP::ValueArg<std::string> before{
            "", "before", "saved /metrics, first reading", false, "", "FILE", commandLine};
    TCLAP::ValueArg<std::string> after{
            "", "after", "saved /metrics, second reading", false, "", "FILE", commandLine};
    TCLAP::ValueArg<double> maxBurn{"",     "max-burn", "highest accepted burn rate", false, 1.0,
                                    "RATE", commandLine};
    TCLAP::SwitchArg isJson{"", "json", "print JSON", commandLine};
    StoreOptions store{commandLine};
};

struct Readings
{
    FleetSloCounts before;
    FleetSloCounts after;
};

std::optional<std::string> findUsageError(const BurnArguments &arguments)
{
    const int window = arguments.window.getValue();
    if (window < 1 || window > MaxWindowMilliseconds)
        return "--window-ms " + std::to_string(window) + " is not accepted; accepted: 1 to "
                + std::to_string(MaxWindowMilliseconds);
    if (arguments.before.isSet() != arguments.after.isSet())
        return "--before and --after must be given together";
    return std::nullopt;
}

Result<FleetSloCounts> readMetricsFile(const std::string &name)
{
    std::ifstream file(name);
    if (!file)
        return Error{ErrorCode::NotFound, "cannot read '" + name + "'"};
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return FleetSloCounts{{"file", parseSloCounts(text)}};
}

Result<Readings> readMetricsFiles(const std::string &beforeFile, const std::string &afterFile)
{
    auto before = readMetricsFile(beforeFile);
    if (!isOk(before))
        return errorOf(before);
    auto after = readMetricsFile(afterFile);
    if (!isOk(after))
        return errorOf(after);
    return Readings{valueOf(std::move(before)), valueOf(std::move(after))};
}

FleetSloCounts readInstances(const InstanceList &instances)
{
    FleetSloCounts counts;
    for (const FetchedPage &fetched : fetchPages(instances, "/metrics", FetchTimeout)) {
        if (isOk(fetched.page)) {
            counts[fetched.instance.name] = parseSloCounts(valueOf(fetched.page));
            continue;
        }
        std::cerr << "instance '" << fetched.instance.name
                  << "' is left out: " << errorOf(fetched.page).message << '\n';
    }
    return counts;
}

Result<Readings> readFleet(StoreSession &session, milliseconds window)
{
    const auto instances = session.run(session.store()->instances());
    if (!isOk(instances)) {
        return Error{ErrorCode::Unavailable,
                     "cannot read the instance list: " + errorOf(instances).message};
    }
    Readings readings;
    readings.before = readInstances(valueOf(instances));
    std::this_thread::sleep_for(window);
    readings.after = readInstances(valueOf(instances));
    const bool hasBoth = std::ranges::any_of(readings.after, [&readings](const auto &entry) {
        return readings.before.contains(entry.first);
    });
    if (!hasBoth)
        return Error{ErrorCode::Unavailable, "no instance answered both readings"};
    return readings;
}

Result<ObjectiveShares> readShares(const std::string &settingsFile)
{
    ObjectiveShares shares;
    if (settingsFile.empty())
        return shares;
    const auto settings = loadSettings(settingsFile);
    if (!isOk(settings))
        return errorOf(settings);
    shares.availability = valueOf(settings).objectives.availability;
    return shares;
}

// Returns 2, so that a cron job can distinguish a missing report from an exceeded --max-burn (1).
int reportBurnFailure(const Error &error)
{
    reportFailure(error.message);
    return ExitUsage;
}

} // namespace

int runReportBurn(const CommandArguments &arguments)
{
    BurnArguments options;
    if (const auto earlyExit = parseArguments(options.commandLine, arguments))
        return *earlyExit;
    if (const auto error = findUsageError(options))
        return reportUsageError(arguments, *error);
    const auto shares = readShares(options.store.settingsFile());
    if (!isOk(shares))
        return reportBurnFailure(errorOf(shares));
    Result<Readings> readings = Error{};
    if (options.before.isSet()) {
        readings = readMetricsFiles(options.before.getValue(), options.after.getValue());
    } else {
        const auto opened = options.store.open(arguments);
        if (std::holds_alternative<int>(opened))
            return ExitUsage;
        readings = readFleet(*std::get<0>(opened), milliseconds{options.window.getValue()});
    }
    if (!isOk(readings))
        return reportBurnFailure(errorOf(readings));
    const auto rates =
            computeBurnRates(valueOf(readings).before, valueOf(readings).after, valueOf(shares));
    std::cout << (options.isJson.getValue() ? formatBurnJson(rates) : formatBurnTable(rates));
    return isAnyBurnRateAbove(rates, options.maxBurn.getValue()) ? ExitFailed : ExitDone;
}

} // namespace pistachiofall
