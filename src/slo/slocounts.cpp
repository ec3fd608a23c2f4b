#include "slo/slocounts.h"

#include "slo/servicelevels.h"

#include <charconv>
#include <optional>

namespace pistachiofall {

namespace {

// Parses `NAME="VALUE"` at the start of the text and removes it from the text. Reverts the escaping
// of formatLabels(). Returns nothing if the text is malformed.
std::optional<std::pair<std::string_view, std::string>> consumeLabel(std::string_view &text)
{
    const std::size_t nameEnd = text.find("=\"");
    if (nameEnd == std::string_view::npos)
        return std::nullopt;
    const std::string_view name = text.substr(0, nameEnd);
    std::string value;
    for (std::size_t i = nameEnd + 2; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return std::pair{name, value};
        }
        if (text[i] == '\\' && i + 1 < text.size())
            ++i;
        value += text[i];
    }
    return std::nullopt;
}

// Parses the labels `{...} ` at the start of the text and removes them from the text. Returns
// nothing if they are malformed or have no objective.
std::optional<SloKey> consumeKey(std::string_view &text)
{
    SloKey key;
    while (!text.empty() && (text.front() == '{' || text.front() == ',')) {
        text.remove_prefix(1);
        const auto label = consumeLabel(text);
        if (!label)
            return std::nullopt;
        if (label->first == "objective")
            key.objective = label->second;
        else if (label->first == "target")
            key.target = label->second;
        else if (label->first == "organisation")
            key.organisation = label->second;
    }
    if (!text.starts_with("} ") || key.objective.empty())
        return std::nullopt;
    text.remove_prefix(2);
    return key;
}

void parseLine(SloCounts &counts, std::string_view line)
{
    std::uint64_t SloCount::*member = nullptr;
    for (const auto &[name, candidate] : {std::pair{SloRequestsMetric, &SloCount::requests},
                                          std::pair{SloBadMetric, &SloCount::bad}}) {
        const std::string_view prefix = name;
        if (line.starts_with(prefix) && line.substr(prefix.size()).starts_with('{')) {
            line.remove_prefix(prefix.size());
            member = candidate;
            break;
        }
    }
    if (member == nullptr)
        return;
    const auto key = consumeKey(line);
    std::uint64_t value = 0;
    if (key && std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc{})
        counts[*key].*member = value;
}

} // namespace

SloCounts parseSloCounts(std::string_view text)
{
    SloCounts counts;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        parseLine(counts, text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return counts;
}

} // namespace pistachiofall
