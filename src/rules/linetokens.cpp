#include "rules/linetokens.h"

#include <algorithm>

namespace pistachiofall::detail {

namespace {

constexpr std::string_view Blanks = " \t";

/// The next word at or after the offset, which moves behind it; empty at the end.
LineToken nextWord(std::string_view line, std::size_t &offset)
{
    const std::size_t start = line.find_first_not_of(Blanks, offset);
    if (start == std::string_view::npos) {
        offset = line.size();
        return {{}, line.size() + 1};
    }
    offset = std::min(line.find_first_of(Blanks, start), line.size());
    return {line.substr(start, offset - start), start + 1};
}

LineToken trimmedComment(std::string_view line, std::size_t hash)
{
    std::string_view text = line.substr(hash + 1);
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos)
        return {{}, hash + 1};
    const std::size_t last = text.find_last_not_of(Blanks);
    return {text.substr(first, last - first + 1), hash + 1};
}

/// Whether the text has the mark of a key, or hex digits as long as half a secret.
bool mayHoldKey(std::string_view text)
{
    constexpr std::string_view KeyMark = "pf_";
    constexpr std::string_view HexDigits = "0123456789abcdefABCDEF";
    constexpr std::size_t SuspectDigits = 32;
    if (text.find(KeyMark) != std::string_view::npos)
        return true;
    std::size_t run = 0;
    for (const char character : text) {
        run = HexDigits.find(character) == std::string_view::npos ? 0 : run + 1;
        if (run == SuspectDigits)
            return true;
    }
    return false;
}

} // namespace

LineTokens splitLine(std::string_view line, std::size_t lineNumber, std::vector<RuleError> &errors)
{
    LineTokens tokens;
    const std::size_t hash = line.find('#');
    if (hash != std::string_view::npos)
        tokens.comment = trimmedComment(line, hash);
    const std::string_view words = line.substr(0, hash);
    std::size_t offset = 0;
    tokens.kind = nextWord(words, offset);
    tokens.name = nextWord(words, offset);
    tokens.endColumn = offset + 1;
    for (LineToken word = nextWord(words, offset); !word.text.empty();
         word = nextWord(words, offset)) {
        tokens.endColumn = offset + 1;
        const std::size_t equals = word.text.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            errors.push_back({lineNumber, word.column,
                              quoted(word.text) + " is no field; accepted: NAME=VALUE"});
            continue;
        }
        tokens.fields.push_back({{word.text.substr(0, equals), word.column},
                                 {word.text.substr(equals + 1), word.column + equals + 1}});
    }
    return tokens;
}

std::string quoted(std::string_view text)
{
    constexpr std::size_t MaxQuotedBytes = 60;
    if (mayHoldKey(text))
        return "a text that looks like a key (not shown)";
    if (text.size() > MaxQuotedBytes)
        return "'" + std::string(text.substr(0, MaxQuotedBytes)) + "...' ("
                + std::to_string(text.size()) + " bytes)";
    return "'" + std::string(text) + "'";
}

} // namespace pistachiofall::detail
