#include "cli/commandtable.h"

#include "cli/commands.h"
#include "cli/load.h"
#include "cli/reportburn.h"
#include "cli/status.h"

#include <array>

namespace pistachiofall {

namespace {

constexpr std::array Commands{
        Command{"serve", "runs an instance", &runServe},
        Command{"fleet serve", "runs an instance on the platform's store", &runFleetServe},
        Command{"fleet check", "checks the settings for fleet serve", &runFleetCheck},
        Command{"status", "shows the instances and endpoints", &runStatus},
        Command{"report burn", "shows how fast the error budgets are used up", &runReportBurn},
        Command{"rules check", "checks a rule file without the store", &runRulesCheck},
        Command{"rules show", "prints the rules in force, as a file that can be applied",
                &runRulesShow},
        Command{"rules diff", "prints what applying a rule file would change", &runRulesDiff},
        Command{"rules apply", "puts a rule file in force", &runRulesApply},
        Command{"key new", "creates a key and prints it with its rule line", &runKeyNew},
        Command{"job submit", "submits a batch job", &runJobSubmit},
        Command{"job status", "prints the state of a batch job", &runJobStatus},
        Command{"job results", "prints the results of a batch job", &runJobResults},
        Command{"job cancel", "cancels a batch job", &runJobCancel},
        Command{"load", "sends an open-loop load", &runLoadCommand},
};

} // namespace

std::span<const Command> commandTable()
{
    return Commands;
}

} // namespace pistachiofall
