#include "rules/rulepartition.h"

#include "base/stablehash.h"
#include "rules/linetokens.h"
#include "rules/rulekind.h"
#include "rules/rulestoragelimits.h"

namespace pistachiofall::detail {

namespace {

std::string partitionKey(std::string_view line)
{
    std::vector<RuleError> ignored;
    const LineTokens tokens = splitLine(line, 1, ignored);
    if (tokens.kind.text == toString(RuleKind::Organisation))
        return std::string(tokens.name.text);
    if (tokens.kind.text == toString(RuleKind::Key)) {
        for (const LineField &field : tokens.fields) {
            if (field.name.text == toString(RuleKind::Organisation))
                return std::string(field.value.text);
        }
    }
    return std::string(tokens.kind.text) + " " + std::string(tokens.name.text);
}

} // namespace

std::size_t segmentOf(std::string_view line, std::size_t count)
{
    return stableHash(partitionKey(line)) % count;
}

std::size_t segmentCount(const std::vector<std::string> &lines, std::size_t currentCount,
                         std::size_t segmentBytes)
{
    std::size_t bytes = 0;
    for (const std::string &line : lines)
        bytes += line.size() + 1;
    const bool isTooLarge = bytes > currentCount * segmentBytes * 2;
    const bool isTooSmall = bytes < currentCount * segmentBytes / 2;
    if (currentCount > 0 && (!isTooLarge || currentCount == MaxRulesSegments)
        && (!isTooSmall || currentCount == 1))
        return currentCount;
    std::size_t count = 1;
    while (count < MaxRulesSegments && count * segmentBytes < bytes)
        count *= 2;
    return count;
}

std::vector<std::vector<std::string>> partition(const std::vector<std::string> &lines,
                                                std::size_t count)
{
    std::vector<std::vector<std::string>> parts(count);
    for (const std::string &line : lines)
        parts[segmentOf(line, count)].push_back(line);
    return parts;
}

} // namespace pistachiofall::detail
