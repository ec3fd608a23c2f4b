#pragma once

#include "base/result.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall::standins {

/// A label selector of the object API: requirements with commas between them, all of which must
/// hold.
class LabelSelector
{
public:
    /// Accepts "name=value", "name==value", "name!=value", "name in (a,b)", "name notin (a,b)",
    /// "name" and "!name"; the empty text selects everything.
    static Result<LabelSelector> parse(std::string_view text);

    bool matches(const std::map<std::string, std::string> &labels) const;

private:
    struct Requirement
    {
        std::string name;
        /// Empty: any value.
        std::set<std::string> values;
        bool isNegated = false;
    };

    static Result<Requirement> parseRequirement(std::string_view text);

    std::vector<Requirement> m_requirements;
};

} // namespace pistachiofall::standins
