#pragma once

#include "base/result.h"
#include "rules/changeorigin.h"
#include "rules/rulesdelta.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// The name of the object whose conditional update commits a new version.
inline constexpr std::string_view RulesHeadName = "rules-head";

/// The content of the head. Version 0, without segments and changes, stands for a store in which no
/// rules were applied yet.
struct RulesHead
{
    std::uint64_t version = 0;
    /// The version that the segments hold.
    std::uint64_t baseVersion = 0;
    /// Who made this version.
    ChangeOrigin origin;
    /// The objects that hold the rules at the base version, by hash; an empty name stands for an
    /// empty segment. The number is zero or a power of two.
    std::vector<std::string> segments;
    /// All changes since the base version and some from before, without gaps, the newest last.
    std::vector<RulesDelta::Ptr> deltas;
};

/// The value to store.
std::string encodeRulesHead(const RulesHead &head);

/// ProtocolError for a value that encodeRulesHead did not make.
Result<RulesHead> decodeRulesHead(std::string_view data);

} // namespace pistachiofall
