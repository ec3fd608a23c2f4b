#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall::detail {

/// Reads a text of lines "word value". After the first mismatch all further reads return empty
/// values and error() tells what was wrong, so the caller checks once, at the end.
class TextReader
{
public:
    /// The text must outlive the reader.
    explicit TextReader(std::string_view text);

    /// The next line without its end.
    std::string_view line();
    /// The rest of the next line, which has to begin with the word and a space.
    std::string_view value(std::string_view word);
    /// A number as value().
    std::uint64_t number(std::string_view word);
    /// The next lines with the prefix removed, each no longer than a rule line.
    std::vector<std::string> lines(std::string_view prefix, std::uint64_t count);

    bool isAtEnd() const { return m_rest.empty(); }
    bool hasFailed() const { return m_failed; }
    /// Marks the text as wrong.
    void fail(std::string_view what);
    /// Call at the end of the text; also fails when there is more.
    Result<Done> finish();

private:
    std::string_view m_rest;
    bool m_failed = false;
    std::string m_error;
};

/// A number of decimal digits; false when the text is something else.
bool parseNumber(std::string_view text, std::uint64_t &number);

} // namespace pistachiofall::detail
