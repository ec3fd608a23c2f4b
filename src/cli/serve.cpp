#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/parsearguments.h"
#include "node/instance.h"
#include "settings/loadsettings.h"

#include <string>

#include <tclap/CmdLine.h>

namespace pistachiofall {

int runServe(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine("Runs an instance until SIGTERM, which stops it gracefully.", ' ',
                               VersionHint);
    TCLAP::ValueArg<std::string> file("s", "settings", "The settings file in TOML.", true, "",
                                      "FILE", commandLine);
    if (const auto exitCode = parseArguments(commandLine, arguments))
        return *exitCode;
    const auto settings = loadSettings(file.getValue());
    if (!isOk(settings))
        return reportFailure(errorOf(settings).message);
    const auto instance = Instance::create(valueOf(settings));
    if (!isOk(instance))
        return reportFailure(errorOf(instance).message);
    valueOf(instance)->run();
    return ExitDone;
}

} // namespace pistachiofall
