#pragma once

#include "rules/changeorigin.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pistachiofall {

/// One change of the rules: what turns version - 1 into version.
struct RulesDelta
{
    using Ptr = std::shared_ptr<const RulesDelta>;

    std::uint64_t version = 0;
    ChangeOrigin origin;
    std::vector<std::string> removed;
    std::vector<std::string> added;

    bool operator==(const RulesDelta &) const = default;
};

/// The size of the lines of a change, before compression.
std::size_t lineBytes(const RulesDelta &delta);

/// Drops the oldest changes, those up to the version first, until the lines of the changes up to
/// that version have at most so many bytes.
void trimDeltas(std::vector<RulesDelta::Ptr> &deltas, std::uint64_t upToVersion,
                std::size_t maxBytes);

} // namespace pistachiofall
