#include "rules/rulefile.h"

#include "rules/linetokens.h"
#include "rules/ruleerror.h"
#include "rules/rulelimits.h"

#include <charconv>
#include <vector>

namespace pistachiofall {

namespace {

constexpr std::string_view VersionHeader = "# version ";

std::vector<std::string> splitLines(std::string_view text)
{
    std::vector<std::string> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        // Some editors end lines with CR LF.
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lines.emplace_back(line);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

Error headerError(std::size_t line, std::size_t column, std::string message)
{
    return joinRuleErrors({{line, column, std::move(message)}});
}

/// Reads the header. A second one is most likely the start of another file.
Result<std::optional<std::uint64_t>> readHeader(const std::vector<std::string> &lines)
{
    std::optional<std::uint64_t> version;
    for (std::size_t index = 0; index < lines.size(); ++index) {
        if (!lines[index].starts_with(VersionHeader))
            continue;
        if (index > 0)
            return headerError(index + 1, 1,
                               "version header on another line than the first; accepted: one "
                               "'# version N' as the first line");
        const std::string_view digits = std::string_view(lines[index]).substr(VersionHeader.size());
        std::uint64_t number = 0;
        const char *end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, number);
        if (parsed.ec != std::errc{} || parsed.ptr != end)
            return headerError(index + 1, VersionHeader.size() + 1,
                               "version " + detail::quoted(digits)
                                       + " is not accepted; accepted: a whole number");
        version = number;
    }
    return version;
}

} // namespace

Result<RuleFile> parseRuleFile(std::string_view text)
{
    if (text.size() > MaxRuleFileBytes)
        return Error{ErrorCode::InvalidArgument,
                     "the file has " + std::to_string(text.size()) + " bytes; accepted: up to "
                             + std::to_string(MaxRuleFileBytes)};
    const std::vector<std::string> lines = splitLines(text);
    const auto version = readHeader(lines);
    auto rules = RuleSet::create(lines);
    if (!isOk(version) || !isOk(rules)) {
        std::string message = isOk(version) ? "" : errorOf(version).message;
        if (!isOk(version) && !isOk(rules))
            message += '\n';
        return Error{ErrorCode::InvalidArgument,
                     message + (isOk(rules) ? "" : errorOf(rules).message)};
    }
    return RuleFile{valueOf(version), valueOf(std::move(rules))};
}

std::string formatRuleFile(const RulesSnapshot &snapshot)
{
    std::string text = std::string(VersionHeader) + std::to_string(snapshot.version) + "\n";
    if (snapshot.version > 0)
        text += "# applied by " + snapshot.origin.author + " at " + formatTime(snapshot.origin.time)
                + "\n";
    for (const std::string &line : snapshot.rules->lines()) {
        text += line;
        text += '\n';
    }
    return text;
}

} // namespace pistachiofall
