#pragma once

#include "cli/command.h"

namespace pistachiofall {

// The entry points of the subcommands. Each returns an ExitCode.

int runRulesCheck(const CommandArguments &arguments);
int runRulesShow(const CommandArguments &arguments);
int runRulesDiff(const CommandArguments &arguments);
int runRulesApply(const CommandArguments &arguments);
int runKeyNew(const CommandArguments &arguments);
int runServe(const CommandArguments &arguments);
int runFleetServe(const CommandArguments &arguments);
int runFleetCheck(const CommandArguments &arguments);
int runJobSubmit(const CommandArguments &arguments);
int runJobStatus(const CommandArguments &arguments);
int runJobResults(const CommandArguments &arguments);
int runJobCancel(const CommandArguments &arguments);

} // namespace pistachiofall
