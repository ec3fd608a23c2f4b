#include "cli/conflictreport.h"

#include "rules/ruledifference.h"

namespace pistachiofall {

namespace {

std::string describeChange(std::uint64_t version, const ChangeOrigin &origin)
{
    return "version " + std::to_string(version) + " was applied by " + origin.author + " at "
            + formatTime(origin.time);
}

} // namespace

std::string describeConflict(std::uint64_t baseVersion, const RulesSnapshot &current,
                             const RuleSet &wanted)
{
    const std::string version = std::to_string(current.version);
    std::string text = "nothing was applied: the file is based on version "
            + std::to_string(baseVersion) + ", and version " + version + " is in force\n";
    const bool isComplete =
            !current.deltas.empty() && current.deltas.front()->version <= baseVersion + 1;
    if (!isComplete)
        text += "the changes before version "
                + std::to_string(current.deltas.empty() ? current.version
                                                        : current.deltas.front()->version)
                + " are no longer listed\n";
    if (current.deltas.empty())
        text += describeChange(current.version, current.origin) + "\n";
    for (const auto &delta : current.deltas) {
        if (delta->version > baseVersion)
            text += describeChange(delta->version, delta->origin) + ":\n"
                    + formatDifference(delta->removed, delta->added);
    }
    const RuleDifference lines = difference(*current.rules, wanted);
    if (lines.isEmpty())
        return text + "the file equals version " + version + "\n";
    return text + "the file would change version " + version + " by:\n"
            + formatDifference(lines.removed, lines.added);
}

} // namespace pistachiofall
