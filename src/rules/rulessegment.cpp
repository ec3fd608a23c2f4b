#include "rules/rulessegment.h"

#include "rules/compression.h"
#include "rules/ruletext.h"
#include "rules/sha256.h"
#include "rules/textreader.h"

#include <array>

namespace pistachiofall {

namespace {

constexpr std::string_view Format = "pistachiofall-rules-segment";
constexpr std::uint64_t FormatVersion = 1;
constexpr std::string_view NamePrefix = "rules-";
// 128 bits of SHA-256: names do not collide.
constexpr std::size_t NameHashBytes = 16;
// A segment compresses to at most 750 KB; key lines compress to half.
constexpr std::size_t MaxSegmentTextBytes = 16U << 20U;

std::string nameOf(std::string_view text)
{
    const KeyDigest digest = detail::sha256({detail::bytesOf(text)});
    return std::string(NamePrefix) + detail::formatHex(std::span(digest).first<NameHashBytes>());
}

} // namespace

RulesSegment encodeRulesSegment(std::uint64_t version, std::span<const std::string> lines)
{
    std::string text(Format);
    text += " " + std::to_string(FormatVersion) + "\nversion " + std::to_string(version)
            + "\nlines " + std::to_string(lines.size()) + "\n";
    for (const std::string &line : lines) {
        text += line;
        text += '\n';
    }
    return {nameOf(text), version, detail::compress(text)};
}

Result<std::vector<std::string>> decodeRulesSegment(std::string_view name, std::string_view data)
{
    const std::string where = "rules segment '" + std::string(name) + "': ";
    const auto text = detail::decompress(data, MaxSegmentTextBytes);
    if (!isOk(text))
        return Error{errorOf(text).code, where + errorOf(text).message};
    if (nameOf(valueOf(text)) != name)
        return Error{ErrorCode::ProtocolError, where + "the content has another hash"};
    detail::TextReader reader(valueOf(text));
    if (reader.number(Format) != FormatVersion)
        reader.fail("unknown format");
    reader.number("version");
    auto lines = reader.lines("", reader.number("lines"));
    if (const auto finished = reader.finish(); !isOk(finished))
        return Error{errorOf(finished).code, where + errorOf(finished).message};
    return lines;
}

bool isSegmentName(std::string_view text)
{
    std::array<unsigned char, NameHashBytes> hash{};
    return text.starts_with(NamePrefix) && detail::parseHex(text.substr(NamePrefix.size()), hash);
}

} // namespace pistachiofall
