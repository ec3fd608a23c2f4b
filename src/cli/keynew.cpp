#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/operatorname.h"
#include "cli/parsearguments.h"
#include "rules/newkey.h"
#include "rules/ruleformat.h"
#include "rules/ruletext.h"

#include <iostream>

namespace pistachiofall {

int runKeyNew(const CommandArguments &arguments)
{
    TCLAP::CmdLine commandLine(
            "Creates a key. The first line of the output is the key itself, which is "
            "not stored; the second is its line for the rule file.",
            ' ', VersionHint);
    TCLAP::ValueArg<std::string> id("", "id", "KEYID of the key", true, "", "ID", commandLine);
    TCLAP::ValueArg<std::string> organisation("", "organisation", "organisation that gets the key",
                                              true, "", "NAME", commandLine);
    TCLAP::ValueArg<std::string> author("", "author", "NAME of the comment; the user when left out",
                                        false, "", "NAME", commandLine);
    TCLAP::ValueArg<std::string> reason("", "reason", "reason of the comment", false, "new key",
                                        "TEXT", commandLine);
    if (const auto earlyExit = parseArguments(commandLine, arguments))
        return *earlyExit;
    auto key = makeKey(id.getValue(), organisation.getValue());
    if (!isOk(key))
        return reportFailure(errorOf(key).message);
    KeyRule &rule = valueOf(key).rule;
    rule.comment = "by " + (author.isSet() ? author.getValue() : operatorName()) + ": "
            + reason.getValue();
    if (!detail::isRuleComment(rule.comment) || detail::findBadByte(rule.comment))
        return reportFailure("--author or --reason is not accepted; accepted as a comment: "
                             + std::string(detail::RuleCommentForm));
    std::cout << valueOf(key).clearKey << '\n' << formatRule(rule) << '\n';
    return ExitDone;
}

} // namespace pistachiofall
