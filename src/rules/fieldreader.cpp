#include "rules/fieldreader.h"

#include "rules/rulelimits.h"
#include "rules/ruletext.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pistachiofall::detail {

namespace {

std::string joined(const std::vector<std::string_view> &words)
{
    std::string text;
    for (const std::string_view word : words) {
        if (!text.empty())
            text += ", ";
        text += word;
    }
    return text;
}

std::string rejected(std::string_view field, std::string_view value, const std::string &accepted)
{
    return std::string(field) + " " + quoted(value) + " is not accepted; accepted: " + accepted;
}

} // namespace

FieldReader::FieldReader(const LineTokens &tokens, std::size_t line, std::vector<RuleError> &errors)
    : m_tokens(tokens)
    , m_line(line)
    , m_errors(errors)
{ }

bool FieldReader::has(std::string_view field) const
{
    return find(field) != nullptr;
}

std::string FieldReader::name(std::string_view field, FieldPresence presence)
{
    const LineToken *value = take(field, presence);
    if (value == nullptr)
        return {};
    if (!isRuleName(value->text)) {
        addError(field, rejected(field, value->text, std::string(RuleNameForm)));
        return {};
    }
    return std::string(value->text);
}

std::string FieldReader::modelName(std::string_view field, FieldPresence presence)
{
    const LineToken *value = take(field, presence);
    if (value == nullptr)
        return {};
    if (!isModelName(value->text)) {
        addError(field, rejected(field, value->text, std::string(ModelNameForm)));
        return {};
    }
    return std::string(value->text);
}

double FieldReader::decimal(std::string_view field, double least, double greatest)
{
    const LineToken *value = take(field, FieldPresence::Required);
    if (value == nullptr)
        return 0;
    const auto number = parseDecimal(value->text);
    if (!number || *number <= 0 || *number < least || *number > greatest) {
        const std::string from = least > 0 ? "from " + formatDecimal(least) : "above 0";
        addError(field,
                 rejected(field, value->text,
                          "a decimal number " + from + " up to " + formatDecimal(greatest)));
        return 0;
    }
    return *number;
}

std::optional<std::uint32_t> FieldReader::count(std::string_view field, std::uint32_t greatest,
                                                FieldPresence presence)
{
    const LineToken *value = take(field, presence);
    if (value == nullptr)
        return std::nullopt;
    std::uint32_t number = 0;
    const char *end = value->text.data() + value->text.size();
    const auto parsed = std::from_chars(value->text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end || number == 0 || number > greatest) {
        addError(field,
                 rejected(field, value->text,
                          "a whole number from 1 to " + std::to_string(greatest)));
        return std::nullopt;
    }
    return number;
}

std::size_t FieldReader::choice(std::string_view field,
                                std::initializer_list<std::string_view> accepted)
{
    const LineToken *value = take(field, FieldPresence::Optional);
    if (value == nullptr)
        return 0;
    const auto *const found = std::find(accepted.begin(), accepted.end(), value->text);
    if (found == accepted.end()) {
        addError(field, rejected(field, value->text, joined(accepted)));
        return 0;
    }
    return static_cast<std::size_t>(found - accepted.begin());
}

std::optional<SocketAddress> FieldReader::address(std::string_view field)
{
    const LineToken *value = take(field, FieldPresence::Required);
    if (value == nullptr)
        return std::nullopt;
    auto parsed = SocketAddress::parse(value->text);
    if (!isOk(parsed) || valueOf(parsed).port() == 0) {
        addError(field, rejected(field, value->text, "IP:PORT"));
        return std::nullopt;
    }
    return valueOf(std::move(parsed));
}

void FieldReader::hex(std::string_view field, std::span<unsigned char> bytes)
{
    const LineToken *value = take(field, FieldPresence::Required);
    if (value != nullptr && !parseHex(value->text, bytes)) {
        addError(field,
                 std::string(field) + " of " + std::to_string(value->text.size())
                         + " characters (not shown) is not accepted; accepted: "
                         + std::to_string(bytes.size() * 2) + " hex digits");
    }
}

void FieldReader::addError(std::string_view field, std::string message)
{
    const LineToken *value = find(field);
    const std::size_t column = value == nullptr ? m_tokens.endColumn : value->column;
    m_errors.push_back({m_line, column, std::move(message)});
}

void FieldReader::finish()
{
    for (auto field = m_tokens.fields.begin(); field != m_tokens.fields.end(); ++field) {
        const std::string_view name = field->name.text;
        const bool isKnown = std::find(m_known.begin(), m_known.end(), name) != m_known.end();
        const bool isRepeated = std::any_of(m_tokens.fields.begin(), field, [&](const auto &other) {
            return other.name.text == name;
        });
        if (!isKnown)
            m_errors.push_back(
                    {m_line, field->name.column,
                     "unknown field " + quoted(name) + "; accepted: " + joined(m_known)});
        else if (isRepeated)
            m_errors.push_back(
                    {m_line, field->name.column, "field " + quoted(name) + " is given twice"});
    }
}

const LineToken *FieldReader::find(std::string_view field) const
{
    for (const LineField &candidate : m_tokens.fields) {
        if (candidate.name.text == field)
            return &candidate.value;
    }
    return nullptr;
}

const LineToken *FieldReader::take(std::string_view field, FieldPresence presence)
{
    m_known.push_back(field);
    const LineToken *value = find(field);
    if (value == nullptr && presence == FieldPresence::Required)
        addError(field, "missing field " + quoted(field));
    return value;
}

} // namespace pistachiofall::detail
