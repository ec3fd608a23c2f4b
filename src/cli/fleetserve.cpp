#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/parsearguments.h"
#include "platform/objectclient.h"
#include "platform/platformprotocol.h"
#include "serving/servinginstance.h"
#include "settings/loadfleetsettings.h"

#include <cstdio>
#include <memory>
#include <string>

#include <tclap/CmdLine.h>

namespace pistachiofall {

namespace {

Result<std::shared_ptr<ObjectSpace>> createSpace(const boost::asio::any_io_executor &executor,
                                                 const StoreSettings &settings, const Clock &clock,
                                                 MetricsRegistry &metrics)
{
    auto client = platform::ObjectClient::create(executor, settings, clock, metrics);
    if (!isOk(client))
        return errorOf(client);
    return std::shared_ptr<ObjectSpace>(valueOf(std::move(client)));
}

} // namespace

int runFleetServe(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine("Runs an instance on the platform's store until SIGTERM.", ' ',
                               VersionHint);
    TCLAP::ValueArg<std::string> file("s", "settings", "The settings file in TOML.", true, "",
                                      "FILE", commandLine);
    if (const auto exitCode = parseArguments(commandLine, arguments))
        return *exitCode;
    const auto settings = loadFleetSettings(file.getValue());
    if (!isOk(settings))
        return reportFailure(errorOf(settings).message);
    const auto instance = ServingInstance::create(
            valueOf(settings), file.getValue(),
            std::make_shared<const platform::PlatformProtocol>(), createSpace);
    if (!isOk(instance))
        return reportFailure(errorOf(instance).message);
    valueOf(instance)->run();
    return ExitDone;
}

int runFleetCheck(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine("Checks a settings file and prints its main values.", ' ',
                               VersionHint);
    TCLAP::ValueArg<std::string> file("s", "settings", "The settings file in TOML.", true, "",
                                      "FILE", commandLine);
    if (const auto exitCode = parseArguments(commandLine, arguments))
        return *exitCode;
    const auto settings = loadFleetSettings(file.getValue());
    if (!isOk(settings))
        return reportFailure(errorOf(settings).message);
    const FleetSettings &read = valueOf(settings);
    std::printf("instance %s in %s, peers on %s, store at %s\n", read.name.c_str(),
                read.failureDomain.c_str(), read.peers.toString().c_str(),
                read.store.address.c_str());
    return ExitDone;
}

} // namespace pistachiofall
