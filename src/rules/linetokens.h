#pragma once

#include "rules/ruleerror.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall::detail {

/// A part of a line and the column of its first byte, from 1.
struct LineToken
{
    std::string_view text;
    std::size_t column = 0;
};

/// One "name=value" of a line.
struct LineField
{
    LineToken name;
    LineToken value;
};

/// The parts of one rule line "kind name key=value ... # comment". The views point into the line.
struct LineTokens
{
    LineToken kind;
    LineToken name;
    std::vector<LineField> fields;
    /// The text after '#' without the spaces around it; the column is that of '#'. Nothing when the
    /// line has no comment.
    std::optional<LineToken> comment;
    /// The column after the last field.
    std::size_t endColumn = 1;
};

/// Splits a line. Adds an error for each part that has the wrong form, and leaves that part out.
/// Kind and name are empty on a line that has only a comment or nothing.
LineTokens splitLine(std::string_view line, std::size_t lineNumber, std::vector<RuleError> &errors);

/// The text in quotes for an error message, shortened, and hidden when it may hold a key.
std::string quoted(std::string_view text);

} // namespace pistachiofall::detail
