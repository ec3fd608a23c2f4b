#include "rules/textreader.h"

#include "rules/rulelimits.h"

#include <charconv>

namespace pistachiofall::detail {

TextReader::TextReader(std::string_view text)
    : m_rest(text)
{ }

std::string_view TextReader::line()
{
    if (m_failed)
        return {};
    const std::size_t end = m_rest.find('\n');
    if (end == std::string_view::npos) {
        fail("a line is cut off");
        return {};
    }
    const std::string_view result = m_rest.substr(0, end);
    m_rest.remove_prefix(end + 1);
    return result;
}

std::string_view TextReader::value(std::string_view word)
{
    std::string_view text = line();
    if (m_failed)
        return {};
    if (!text.starts_with(word) || text.size() <= word.size() || text[word.size()] != ' ') {
        fail("no line '" + std::string(word) + "' where one belongs");
        return {};
    }
    return text.substr(word.size() + 1);
}

std::uint64_t TextReader::number(std::string_view word)
{
    std::uint64_t result = 0;
    const std::string_view text = value(word);
    if (!m_failed && !parseNumber(text, result))
        fail("'" + std::string(word) + "' has no number");
    return m_failed ? 0 : result;
}

std::vector<std::string> TextReader::lines(std::string_view prefix, std::uint64_t count)
{
    std::vector<std::string> result;
    if (count > MaxRules)
        fail("too many lines");
    for (std::uint64_t index = 0; index < count && !m_failed; ++index) {
        const std::string_view text = line();
        if (m_failed)
            break;
        if (!text.starts_with(prefix) || text.size() - prefix.size() > MaxRuleLineBytes)
            fail("a rule line is malformed");
        else
            result.emplace_back(text.substr(prefix.size()));
    }
    return m_failed ? std::vector<std::string>{} : result;
}

void TextReader::fail(std::string_view what)
{
    if (!m_failed)
        m_error = what;
    m_failed = true;
}

Result<Done> TextReader::finish()
{
    if (!m_failed && !isAtEnd())
        fail("there is more than belongs to it");
    if (m_failed)
        return Error{ErrorCode::ProtocolError, m_error};
    return Done{};
}

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace pistachiofall::detail
