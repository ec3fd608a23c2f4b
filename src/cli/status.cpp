#include "cli/status.h"

#include "cli/exitcode.h"
#include "cli/fleetstatus.h"
#include "cli/pagefetch.h"
#include "cli/parsearguments.h"
#include "cli/storeoptions.h"

#include <iostream>

#include <tclap/CmdLine.h>

namespace pistachiofall {

namespace {

constexpr std::chrono::milliseconds FetchTimeout{3000};

} // namespace

int runStatus(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine("Shows all listed instances and the endpoints.", ' ', VersionHint);
    StoreOptions options(commandLine);
    if (const auto earlyExit = parseArguments(commandLine, arguments))
        return *earlyExit;
    const auto opened = options.open(arguments);
    if (std::holds_alternative<int>(opened))
        return ExitUsage;
    StoreSession &session = *std::get<0>(opened);
    const auto instances = session.run(session.store()->instances());
    if (!isOk(instances)) {
        reportFailure("cannot read the instance list: " + errorOf(instances).message);
        return ExitUsage;
    }
    if (valueOf(instances).instances.empty())
        return reportFailure("the platform lists no instance");
    std::vector<FleetMember> members;
    for (const FetchedPage &fetched : fetchPages(valueOf(instances), "/status", FetchTimeout)) {
        Result<InstanceStatus> status = isOk(fetched.page)
                ? parseInstanceStatus(valueOf(fetched.page))
                : Result<InstanceStatus>(errorOf(fetched.page));
        members.push_back({fetched.instance, std::move(status)});
    }
    std::cout << formatFleetStatus(members);
    return haveConsistentVersions(members) ? ExitDone : ExitFailed;
}

} // namespace pistachiofall
