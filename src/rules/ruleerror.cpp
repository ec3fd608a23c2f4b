#include "rules/ruleerror.h"

#include <algorithm>
#include <tuple>

namespace pistachiofall {

Error joinRuleErrors(std::vector<RuleError> errors)
{
    std::stable_sort(errors.begin(), errors.end(), [](const RuleError &a, const RuleError &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    Error joined{ErrorCode::InvalidArgument, {}};
    for (const RuleError &error : errors) {
        if (!joined.message.empty())
            joined.message += '\n';
        joined.message += "line " + std::to_string(error.line) + ", column "
                + std::to_string(error.column) + ": " + error.message;
    }
    return joined;
}

} // namespace pistachiofall
