#include "settings/sectionreader.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace pistachiofall::detail {

namespace {

constexpr double MillisecondsPerSecond = 1000;
constexpr const char *NameDescription =
        "up to 64 letters, digits, '.', '_' and '-', a letter or digit first";

bool isName(std::string_view text)
{
    constexpr std::size_t MaxNameBytes = 64;
    const auto isAlphanumeric = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9');
    };
    return !text.empty() && text.size() <= MaxNameBytes && isAlphanumeric(text.front())
            && std::all_of(text.begin(), text.end(), [&](char character) {
                   return isAlphanumeric(character) || character == '.' || character == '_'
                           || character == '-';
               });
}

// Formats a value for an error message, in single quotes.
std::string formatValue(const toml::node &node)
{
    std::ostringstream out;
    if (const auto *text = node.as_string())
        out << '\'' << text->get() << '\'';
    else
        node.visit([&](const auto &value) { out << '\'' << value << '\''; });
    return out.str();
}

// Returns a hint to remove the quotes if the value is a string, for keys that expect a number or a
// boolean.
std::string quotesHint(const toml::node &node)
{
    return node.is_string() ? ", without quotes" : "";
}

} // namespace

std::size_t lineOf(const toml::node &node)
{
    return std::max<std::size_t>(1, node.source().begin.line);
}

SectionReader::SectionReader(const toml::table &document, std::string_view section,
                             SettingsErrors &errors)
    : m_section(section)
    , m_errors(errors)
{
    const toml::node *node = document.get(section);
    if (node == nullptr)
        return;
    m_table = node->as_table();
    if (m_table == nullptr)
        m_errors.add(lineOf(*node), m_section + " is not a section; accepted: [" + m_section + "]");
}

SectionReader::SectionReader(const toml::table &table, Label label, SettingsErrors &errors)
    : m_section(label.text)
    , m_table(&table)
    , m_errors(errors)
{ }

std::string SectionReader::requiredName(std::string_view key)
{
    std::string value;
    if (findRequired(key) != nullptr)
        name(key, value);
    return value;
}

void SectionReader::name(std::string_view key, std::string &value)
{
    const toml::node *node = findOptional(key);
    const auto text = readText(node, key, NameDescription);
    if (text && !isName(*text))
        reject(key, *node, NameDescription);
    else if (text)
        value = *text;
}

void SectionReader::text(std::string_view key, std::optional<std::string> &value)
{
    constexpr const char *Accepted = "a non-empty string";
    const toml::node *node = findOptional(key);
    const auto text = readText(node, key, Accepted);
    if (text && text->empty())
        reject(key, *node, Accepted);
    else if (text)
        value = *text;
}

std::optional<SocketAddress> SectionReader::requiredAddress(std::string_view key,
                                                            std::uint16_t minPort)
{
    return readAddress(findRequired(key), key, minPort);
}

std::optional<SocketAddress> SectionReader::address(std::string_view key, std::uint16_t minPort)
{
    return readAddress(findOptional(key), key, minPort);
}

std::optional<SocketAddress> SectionReader::readAddress(const toml::node *node,
                                                        std::string_view key, std::uint16_t minPort)
{
    constexpr const char *Accepted = "a string IP:PORT";
    const auto text = readText(node, key, Accepted);
    if (!text)
        return std::nullopt;
    auto address = SocketAddress::parse(*text);
    if (!isOk(address) || valueOf(address).port() < minPort) {
        reject(key, *node, Accepted);
        return std::nullopt;
    }
    return valueOf(std::move(address));
}

std::vector<SocketAddress> SectionReader::requiredAddresses(std::string_view key,
                                                            std::uint16_t minPort)
{
    constexpr const char *Accepted = "a non-empty array of strings IP:PORT";
    std::vector<SocketAddress> addresses;
    const toml::node *node = findRequired(key);
    if (node == nullptr)
        return addresses;
    const toml::array *array = node->as_array();
    if (array == nullptr || array->empty()) {
        reject(key, *node, Accepted);
        return addresses;
    }
    for (const toml::node &element : *array) {
        if (auto address = readAddress(&element, key, minPort))
            addresses.push_back(std::move(*address));
    }
    return addresses;
}

std::optional<double> SectionReader::readNumber(std::string_view key, double minimum,
                                                double maximum)
{
    const toml::node *node = findOptional(key);
    if (node == nullptr)
        return std::nullopt;
    const auto number = node->is_number() ? node->value<double>() : std::nullopt;
    if (number && *number >= minimum && *number <= maximum)
        return number;
    std::ostringstream accepted;
    accepted << "a number from " << minimum << " to " << maximum << quotesHint(*node);
    reject(key, *node, accepted.str());
    return std::nullopt;
}

void SectionReader::number(std::string_view key, double minimum, double maximum, double &value)
{
    if (const auto number = readNumber(key, minimum, maximum))
        value = *number;
}

void SectionReader::boolean(std::string_view key, bool &value)
{
    const toml::node *node = findOptional(key);
    if (node == nullptr)
        return;
    const auto given = node->value_exact<bool>();
    if (given)
        value = *given;
    else
        reject(key, *node, "true or false" + quotesHint(*node));
}

void SectionReader::milliseconds(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                                 std::chrono::milliseconds &value)
{
    if (const auto number = readInteger(key, minimum, maximum))
        value = std::chrono::milliseconds{*number};
}

void SectionReader::duration(std::string_view name, std::int64_t minimum, std::int64_t maximum,
                             std::chrono::milliseconds &value)
{
    const std::string inMilliseconds = std::string(name) + "_ms";
    const std::string inSeconds = std::string(name) + "_s";
    const auto least = static_cast<double>(minimum);
    const auto most = static_cast<double>(maximum);
    const auto milliseconds = readNumber(inMilliseconds, least, most);
    const auto seconds =
            readNumber(inSeconds, least / MillisecondsPerSecond, most / MillisecondsPerSecond);
    if (milliseconds && seconds)
        addError(inSeconds, "[" + m_section + "] has both " + inMilliseconds + " and " + inSeconds);
    else if (milliseconds)
        value = std::chrono::milliseconds{static_cast<std::int64_t>(*milliseconds)};
    else if (seconds)
        value = std::chrono::milliseconds{std::llround(*seconds * MillisecondsPerSecond)};
}

void SectionReader::fraction(std::string_view key, double &value)
{
    const toml::node *node = findOptional(key);
    if (node == nullptr)
        return;
    const auto number = node->value_exact<double>();
    if (!number || !(*number > 0 && *number < 1))
        reject(key, *node, "a number above 0 and below 1" + quotesHint(*node));
    else
        value = *number;
}

void SectionReader::share(std::string_view key, double &value)
{
    const toml::node *node = findOptional(key);
    if (node == nullptr)
        return;
    const auto number = node->is_number() ? node->value<double>() : std::nullopt;
    if (!number || !(*number > 0 && *number <= 1))
        reject(key, *node, "a number above 0 and up to 1" + quotesHint(*node));
    else
        value = *number;
}

void SectionReader::addError(std::string_view key, const std::string &message)
{
    const toml::node *node = m_table == nullptr ? nullptr : m_table->get(key);
    const std::size_t sectionLine = m_table == nullptr ? 1 : lineOf(*m_table);
    m_errors.add(node == nullptr ? sectionLine : lineOf(*node), message);
}

void SectionReader::rejectUnknownKeys()
{
    if (m_table == nullptr)
        return;
    std::string accepted;
    for (const std::string &known : m_knownKeys)
        accepted += (accepted.empty() ? "" : ", ") + known;
    for (const auto &[key, value] : *m_table) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key.str()) == m_knownKeys.end())
            m_errors.add(std::max<std::size_t>(1, key.source().begin.line),
                         "unknown key '" + std::string(key.str()) + "' in [" + m_section
                                 + "]; accepted: " + accepted);
    }
}

const toml::node *SectionReader::findOptional(std::string_view key)
{
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end())
        m_knownKeys.emplace_back(key);
    return m_table == nullptr ? nullptr : m_table->get(key);
}

const toml::node *SectionReader::findRequired(std::string_view key)
{
    const toml::node *node = findOptional(key);
    if (node == nullptr)
        addError(key, "missing key '" + std::string(key) + "' in [" + m_section + "]");
    return node;
}

std::optional<std::string> SectionReader::readText(const toml::node *node, std::string_view key,
                                                   const char *accepted)
{
    if (node == nullptr)
        return std::nullopt;
    auto text = node->value_exact<std::string>();
    if (!text)
        reject(key, *node, std::string(accepted) + ", in quotes");
    return text;
}

std::optional<std::size_t> SectionReader::readChoice(std::string_view key,
                                                     const std::vector<std::string_view> &words)
{
    std::string accepted;
    for (const std::string_view word : words)
        accepted += (accepted.empty() ? "'" : ", '") + std::string(word) + "'";
    const toml::node *node = findOptional(key);
    const auto text = readText(node, key, accepted.c_str());
    if (!text)
        return std::nullopt;
    const auto found = std::find(words.begin(), words.end(), *text);
    if (found == words.end()) {
        reject(key, *node, accepted);
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - words.begin());
}

std::optional<std::int64_t> SectionReader::readInteger(std::string_view key, std::int64_t minimum,
                                                       std::int64_t maximum)
{
    const toml::node *node = findOptional(key);
    if (node == nullptr)
        return std::nullopt;
    auto number = node->value_exact<std::int64_t>();
    if (!number || *number < minimum || *number > maximum) {
        reject(key, *node,
               "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                       + quotesHint(*node));
        return std::nullopt;
    }
    return number;
}

void SectionReader::reject(std::string_view key, const toml::node &value,
                           const std::string &accepted)
{
    m_errors.add(lineOf(value),
                 "[" + m_section + "] " + std::string(key) + " " + formatValue(value)
                         + " is not accepted; accepted: " + accepted);
}

} // namespace pistachiofall::detail
