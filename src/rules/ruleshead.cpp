#include "rules/ruleshead.h"

#include "rules/compression.h"
#include "rules/deltatext.h"
#include "rules/rulessegment.h"
#include "rules/rulestoragelimits.h"
#include "rules/textreader.h"

#include <bit>

namespace pistachiofall {

namespace {

constexpr std::string_view Format = "pistachiofall-rules-head";
constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t MaxHeadTextBytes = 16U << 20U;

/// Whether the changes lead from the base version to the version.
bool areVersionsConsistent(const RulesHead &head)
{
    if (head.version == 0 || head.baseVersion > head.version)
        return false;
    if (head.deltas.empty())
        return head.baseVersion == head.version;
    return head.deltas.back()->version == head.version && head.deltas.front()->version > 0
            && head.deltas.front()->version <= head.baseVersion + 1
            && head.deltas.back()->origin == head.origin;
}

bool isSegmentCount(std::size_t count, std::uint64_t baseVersion)
{
    if (count == 0)
        return baseVersion == 0;
    return baseVersion > 0 && count <= MaxRulesSegments && std::has_single_bit(count);
}

std::vector<std::string> readSegments(detail::TextReader &reader)
{
    const auto count = reader.number("segments");
    if (count > MaxRulesSegments) {
        reader.fail("too many segments");
        return {};
    }
    std::vector<std::string> names(count);
    for (std::string &name : names) {
        const std::string_view text = reader.value("segment");
        if (text == "-")
            continue;
        if (!isSegmentName(text))
            reader.fail("the name of a segment is malformed");
        name = text;
    }
    return names;
}

} // namespace

std::string encodeRulesHead(const RulesHead &head)
{
    std::string text(Format);
    text += " " + std::to_string(FormatVersion) + "\nversion " + std::to_string(head.version)
            + "\nbase " + std::to_string(head.baseVersion) + "\n";
    detail::writeOrigin(text, head.origin);
    text += "segments " + std::to_string(head.segments.size()) + "\n";
    for (const std::string &name : head.segments)
        text += "segment " + (name.empty() ? "-" : name) + "\n";
    detail::writeDeltas(text, head.deltas);
    return detail::compress(text);
}

Result<RulesHead> decodeRulesHead(std::string_view data)
{
    const auto text = detail::decompress(data, MaxHeadTextBytes);
    if (!isOk(text))
        return Error{errorOf(text).code, "rules head: " + errorOf(text).message};
    detail::TextReader reader(valueOf(text));
    if (reader.number(Format) != FormatVersion)
        reader.fail("unknown format");
    RulesHead head;
    head.version = reader.number("version");
    head.baseVersion = reader.number("base");
    head.origin = detail::readOrigin(reader);
    head.segments = readSegments(reader);
    head.deltas = detail::readDeltas(reader);
    if (!areVersionsConsistent(head) || !isSegmentCount(head.segments.size(), head.baseVersion))
        reader.fail("versions or segments do not fit together");
    if (const auto finished = reader.finish(); !isOk(finished))
        return Error{errorOf(finished).code, "rules head: " + errorOf(finished).message};
    return head;
}

} // namespace pistachiofall
