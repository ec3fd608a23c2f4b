#include "store/jsonpruning.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>
#include <utility>

namespace pistachiofall::store::detail {

namespace {

// A double has at most 17 significant digits, a sign, a point and an exponent of five characters.
constexpr std::size_t MaxNumberLength = 32;
constexpr std::string_view Null = "null";

bool isNumberStart(char character)
{
    return character == '-' || (character >= '0' && character <= '9');
}

bool isNumberPart(char character)
{
    return isNumberStart(character) || character == '+' || character == '.' || character == 'e'
            || character == 'E';
}

// Returns the length of the string that begins with a quotation mark, with both marks.
std::size_t stringLength(std::string_view text)
{
    std::size_t length = 1;
    while (length < text.size() && text[length] != '"')
        length += text[length] == '\\' ? 2 : 1;
    return std::min(length + 1, text.size());
}

std::size_t numberLength(std::string_view text)
{
    std::size_t length = 0;
    while (length < text.size() && isNumberPart(text[length]))
        ++length;
    return length;
}

// Whether a field can hold the number. One beyond all doubles would be read as infinity, which no
// JSON text can say again. What is not a number at all is left for the parser to refuse.
bool isUsableNumber(std::string_view number)
{
    if (number.size() > MaxNumberLength)
        return false;
    double value = 0;
    const auto read = std::from_chars(number.data(), number.data() + number.size(), value);
    return read.ec != std::errc::result_out_of_range && std::isfinite(value);
}

// Copies the text piece by piece and leaves out what lies deeper than the limit.
class Pruner
{
public:
    Pruner(std::string_view text, std::size_t maxDepth)
        : m_text(text)
        , m_maxDepth(maxDepth)
    { }

    std::string run()
    {
        while (m_position < m_text.size())
            step();
        return std::move(m_output);
    }

private:
    void step()
    {
        const std::string_view rest = m_text.substr(m_position);
        const char first = rest.front();
        if (first == '"')
            copy(rest.substr(0, stringLength(rest)));
        else if (isNumberStart(first))
            copyNumber(rest.substr(0, numberLength(rest)));
        else if (first == '[' || first == '{')
            open(rest.substr(0, 1));
        else if (first == ']' || first == '}')
            close(rest.substr(0, 1));
        else
            copy(rest.substr(0, 1));
    }

    bool isTooDeep() const { return m_depth > m_maxDepth; }

    void copy(std::string_view piece)
    {
        if (!isTooDeep())
            m_output += piece;
        m_position += piece.size();
    }

    void copyNumber(std::string_view number)
    {
        if (isUsableNumber(number)) {
            copy(number);
            return;
        }
        if (!isTooDeep())
            m_output += Null;
        m_position += number.size();
    }

    void open(std::string_view bracket)
    {
        if (++m_depth == m_maxDepth + 1)
            m_output += Null;
        copy(bracket);
    }

    void close(std::string_view bracket)
    {
        copy(bracket);
        if (m_depth > 0)
            --m_depth;
    }

    std::string_view m_text;
    std::size_t m_maxDepth;
    std::size_t m_position = 0;
    std::size_t m_depth = 0;
    std::string m_output;
};

} // namespace

bool mayHoldInfiniteNumber(std::string_view text)
{
    std::size_t digits = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (character >= '0' && character <= '9') {
            if (++digits > MaxNumberLength)
                return true;
            continue;
        }
        const bool isExponent = (character == 'e' || character == 'E') && digits > 0
                && position + 1 < text.size() && isNumberPart(text[position + 1]);
        if (isExponent)
            return true;
        digits = 0;
    }
    return false;
}

std::string pruneJson(std::string_view text, std::size_t maxDepth)
{
    return Pruner(text, maxDepth).run();
}

} // namespace pistachiofall::store::detail
