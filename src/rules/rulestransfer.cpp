#include "rules/rulestransfer.h"

#include "rules/compression.h"
#include "rules/deltatext.h"
#include "rules/rulelimits.h"
#include "rules/textreader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachiofall {

namespace {

constexpr std::string_view DeltasFormat = "pistachiofall-rules-deltas";
constexpr std::string_view PartFormat = "pistachiofall-rules-part";
constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t MaxPartTextBytes = 4U << 20U;

std::string encodeDeltas(std::uint64_t version, const std::vector<RulesDelta::Ptr> &deltas)
{
    std::string text(DeltasFormat);
    text += " " + std::to_string(FormatVersion) + "\nversion " + std::to_string(version) + "\n";
    detail::writeDeltas(text, deltas);
    return detail::compress(text);
}

Error malformed(const Error &error)
{
    return {error.code, "rules data: " + error.message};
}

} // namespace

/// A part of the whole set.
struct RulesTransfer::Part
{
    std::uint64_t version = 0;
    std::uint64_t index = 0;
    std::uint64_t count = 0;
    ChangeOrigin origin;
    std::vector<std::string> lines;
};

Result<std::string> encodeRulesData(const RulesSnapshot &snapshot, std::uint64_t knownVersion,
                                    std::uint32_t part, const RuleStorageLimits &limits)
{
    const bool hasDeltas = knownVersion >= snapshot.version
            || (!snapshot.deltas.empty() && snapshot.deltas.front()->version <= knownVersion + 1);
    if (hasDeltas && part == 0) {
        std::vector<RulesDelta::Ptr> deltas;
        std::copy_if(snapshot.deltas.begin(), snapshot.deltas.end(), std::back_inserter(deltas),
                     [&](const auto &delta) { return delta->version > knownVersion; });
        return encodeDeltas(snapshot.version, deltas);
    }
    const std::size_t count = std::max<std::size_t>(
            1, (snapshot.rules->size() + limits.rulesPerPart - 1) / limits.rulesPerPart);
    if (part >= count)
        return Error{ErrorCode::InvalidArgument,
                     "part " + std::to_string(part)
                             + " of the rules does not exist; accepted: up to "
                             + std::to_string(count - 1)};
    std::string text(PartFormat);
    text += " " + std::to_string(FormatVersion) + "\nversion " + std::to_string(snapshot.version)
            + "\npart " + std::to_string(part) + "\nparts " + std::to_string(count) + "\n";
    detail::writeOrigin(text, snapshot.origin);
    const auto lines = snapshot.rules->lines(part * limits.rulesPerPart, limits.rulesPerPart);
    text += "lines " + std::to_string(lines.size()) + "\n";
    for (const std::string &line : lines) {
        text += line;
        text += '\n';
    }
    return detail::compress(text);
}

RulesTransfer::RulesTransfer(RulesSnapshot current)
    : m_current(std::move(current))
{ }

Result<std::optional<RulesSnapshot>> RulesTransfer::accept(std::string_view data)
{
    const auto text = detail::decompress(data, MaxPartTextBytes);
    if (!isOk(text))
        return malformed(errorOf(text));
    if (valueOf(text).starts_with(PartFormat)) {
        auto part = decodePart(valueOf(text));
        if (!isOk(part))
            return errorOf(part);
        return acceptPart(valueOf(std::move(part)));
    }
    return acceptDeltas(valueOf(text));
}

Result<std::optional<RulesSnapshot>> RulesTransfer::acceptDeltas(std::string_view text)
{
    detail::TextReader reader(text);
    if (reader.number(DeltasFormat) != FormatVersion)
        reader.fail("unknown format");
    const std::uint64_t version = reader.number("version");
    const auto deltas = detail::readDeltas(reader);
    if (!deltas.empty() && deltas.back()->version != version)
        reader.fail("the last change has another version");
    if (const auto finished = reader.finish(); !isOk(finished))
        return malformed(errorOf(finished));
    if (version < m_current.version)
        return Error{ErrorCode::Conflict,
                     "the peer has the lower rules version " + std::to_string(version)};
    auto next = applyDeltas(m_current, deltas);
    if (!isOk(next))
        return malformed(errorOf(next));
    if (valueOf(next).version != version)
        return Error{ErrorCode::ProtocolError,
                     "rules data: the changes do not lead to version " + std::to_string(version)};
    m_current = valueOf(std::move(next));
    restart();
    return std::optional<RulesSnapshot>(m_current);
}

Result<RulesTransfer::Part> RulesTransfer::decodePart(std::string_view text)
{
    detail::TextReader reader(text);
    if (reader.number(PartFormat) != FormatVersion)
        reader.fail("unknown format");
    Part part;
    part.version = reader.number("version");
    part.index = reader.number("part");
    part.count = reader.number("parts");
    part.origin = detail::readOrigin(reader);
    part.lines = reader.lines("", reader.number("lines"));
    if (part.index >= part.count || part.count > MaxRules || part.version == 0)
        reader.fail("the part does not exist");
    if (const auto finished = reader.finish(); !isOk(finished))
        return malformed(errorOf(finished));
    return part;
}

Result<std::optional<RulesSnapshot>> RulesTransfer::acceptPart(Part part)
{
    if (part.version < m_current.version)
        return Error{ErrorCode::Conflict,
                     "the peer has the lower rules version " + std::to_string(part.version)};
    if (part.version == m_current.version)
        return std::optional<RulesSnapshot>(m_current);
    if (part.index == 0)
        restart();
    if (part.index != m_nextPart || (part.index > 0 && part.version != m_version)
        || (part.index > 0 && part.count != m_parts)
        || m_lines.size() + part.lines.size() > MaxRules) {
        restart();
        return Error{ErrorCode::Unavailable, "the peer's rules changed during the transfer"};
    }
    m_version = part.version;
    m_parts = part.count;
    std::move(part.lines.begin(), part.lines.end(), std::back_inserter(m_lines));
    ++m_nextPart;
    if (m_nextPart < m_parts)
        return std::optional<RulesSnapshot>{};
    auto rules = RuleSet::create(m_lines);
    restart();
    if (!isOk(rules))
        return malformed({ErrorCode::ProtocolError, errorOf(rules).message});
    m_current = RulesSnapshot{part.version, part.origin, valueOf(std::move(rules)), {}};
    return std::optional<RulesSnapshot>(m_current);
}

void RulesTransfer::restart()
{
    m_nextPart = 0;
    m_version = 0;
    m_parts = 0;
    m_lines.clear();
}

} // namespace pistachiofall
