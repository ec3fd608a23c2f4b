#include "batch/rawjson.h"

#include <cstddef>
#include <string>

#include <boost/json/basic_parser_impl.hpp>

namespace pistachiofall::batch::detail {

namespace json = boost::json;

namespace {

// Bounds the stack of the parser. Requests and answers of the engines are less deeply nested.
constexpr std::size_t MaxDepth = 64;

// Parser handler that accepts all events and stores nothing; used for validation only.
struct NullHandler
{
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1); // NOLINT
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);  // NOLINT
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);    // NOLINT
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1); // NOLINT

    using Code = boost::system::error_code;
    using Text = json::string_view;
    // The names are required by the parser.
    // NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(Code &) { return true; }
    bool on_document_end(Code &) { return true; }
    bool on_object_begin(Code &) { return true; }
    bool on_object_end(std::size_t, Code &) { return true; }
    bool on_array_begin(Code &) { return true; }
    bool on_array_end(std::size_t, Code &) { return true; }
    bool on_key_part(Text, std::size_t, Code &) { return true; }
    bool on_key(Text, std::size_t, Code &) { return true; }
    bool on_string_part(Text, std::size_t, Code &) { return true; }
    bool on_string(Text, std::size_t, Code &) { return true; }
    bool on_number_part(Text, Code &) { return true; }
    bool on_int64(std::int64_t, Text, Code &) { return true; }
    bool on_uint64(std::uint64_t, Text, Code &) { return true; }
    bool on_double(double, Text, Code &) { return true; }
    bool on_bool(bool, Code &) { return true; }
    bool on_null(Code &) { return true; }
    bool on_comment_part(Text, Code &) { return true; }
    bool on_comment(Text, Code &) { return true; }
    // NOLINTEND(readability-identifier-naming)
};

bool isSpace(char character)
{
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
}

// Iterates over the members of a valid JSON object.
class MemberScanner
{
public:
    explicit MemberScanner(std::string_view object)
        : m_text(object)
    {
        skipSpace();
        ++m_position;
    }

    // Advances to the next member. Returns false at the end of the object.
    bool next()
    {
        while (m_position < m_text.size()
               && (isSpace(m_text[m_position]) || m_text[m_position] == ','))
            ++m_position;
        if (m_position >= m_text.size() || m_text[m_position] != '"')
            return false;
        const std::size_t nameStart = m_position + 1;
        skipString();
        m_name = m_text.substr(nameStart, m_position - nameStart - 1);
        skipSpace();
        ++m_position;
        skipSpace();
        const std::size_t valueStart = m_position;
        skipValue();
        m_value = m_text.substr(valueStart, m_position - valueStart);
        while (!m_value.empty() && isSpace(m_value.back()))
            m_value.remove_suffix(1);
        return true;
    }

    std::string_view name() const { return m_name; }
    std::string_view value() const { return m_value; }

private:
    void skipSpace()
    {
        while (m_position < m_text.size() && isSpace(m_text[m_position]))
            ++m_position;
    }

    void skipString()
    {
        for (++m_position; m_position < m_text.size() && m_text[m_position] != '"'; ++m_position)
            m_position += m_text[m_position] == '\\' ? 1 : 0;
        ++m_position;
    }

    // Stops at the comma or the closing bracket after the value.
    void skipValue()
    {
        for (int depth = 0; m_position < m_text.size();) {
            const char character = m_text[m_position];
            if (character == '"') {
                skipString();
                continue;
            }
            const bool isEnd = character == '}' || character == ']';
            if (depth == 0 && (isEnd || character == ','))
                return;
            if (character == '{' || character == '[')
                ++depth;
            else if (isEnd)
                --depth;
            ++m_position;
        }
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    std::string_view m_name;
    std::string_view m_value;
};

// Returns the length of the UTF-8 sequence at the start of the text, or 0 if it is invalid.
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text.front());
    if (first < 0x80U)
        return 1;
    const std::size_t length = first >= 0xf0U ? 4 : first >= 0xe0U ? 3 : 2;
    if (first < 0xc2U || first > 0xf4U || text.size() < length)
        return 0;
    std::uint32_t codePoint = first & (0xffU >> (length + 1));
    for (std::size_t index = 1; index < length; ++index) {
        const auto byte = static_cast<unsigned char>(text[index]);
        if ((byte & 0xc0U) != 0x80U)
            return 0;
        codePoint = codePoint << 6U | (byte & 0x3fU);
    }
    const bool isOverlong =
            (length == 3 && codePoint < 0x800U) || (length == 4 && codePoint < 0x10000U);
    const bool isSurrogate = codePoint >= 0xd800U && codePoint <= 0xdfffU;
    return isOverlong || isSurrogate || codePoint > 0x10ffffU ? 0 : length;
}

void appendEscaped(std::string &out, char character)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    if (character == '"' || character == '\\') {
        out += '\\';
        out += character;
    } else if (static_cast<unsigned char>(character) < 0x20U) {
        out += "\\u00";
        out += Digits[static_cast<unsigned char>(character) >> 4U];
        out += Digits[static_cast<unsigned char>(character) & 0xfU];
    } else {
        out += character;
    }
}

} // namespace

std::string_view rawMember(std::string_view object, std::string_view name)
{
    std::string_view found;
    for (MemberScanner scanner(object); scanner.next();) {
        if (scanner.name() == name)
            found = scanner.value();
    }
    return found;
}

bool isJson(std::string_view text)
{
    json::parse_options options;
    options.max_depth = MaxDepth;
    json::basic_parser<NullHandler> parser(options);
    boost::system::error_code error;
    const std::size_t used = parser.write_some(false, text.data(), text.size(), error);
    if (error || !parser.done())
        return false;
    for (const char character : text.substr(used)) {
        if (!isSpace(character))
            return false;
    }
    return true;
}

std::string quoteJson(std::string_view text)
{
    constexpr std::string_view ReplacementCharacter = "\xef\xbf\xbd";
    std::string out = "\"";
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        if (length == 1)
            appendEscaped(out, text.front());
        else
            out += length == 0 ? ReplacementCharacter : text.substr(0, length);
        text.remove_prefix(length == 0 ? 1 : length);
    }
    return out + '"';
}

} // namespace pistachiofall::batch::detail
