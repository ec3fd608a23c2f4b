#pragma once

#include "base/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// A part of the rules, stored as one object that never changes.
struct RulesSegment
{
    /// "rules-HASH", where the hash covers the version and the lines. Only the head of that version
    /// can introduce the name, so a segment that a later head does not name can be removed.
    std::string name;
    std::uint64_t version = 0;
    std::string data;
};

RulesSegment encodeRulesSegment(std::uint64_t version, std::span<const std::string> lines);

/// The lines of a segment. ProtocolError when the data does not belong to the name.
Result<std::vector<std::string>> decodeRulesSegment(std::string_view name, std::string_view data);

/// Whether the text has the form of a segment's name.
bool isSegmentName(std::string_view text);

} // namespace pistachiofall
