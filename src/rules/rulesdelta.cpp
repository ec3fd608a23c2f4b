#include "rules/rulesdelta.h"

namespace pistachiofall {

std::size_t lineBytes(const RulesDelta &delta)
{
    std::size_t bytes = 0;
    for (const auto *lines : {&delta.removed, &delta.added}) {
        for (const std::string &line : *lines)
            bytes += line.size() + 1;
    }
    return bytes;
}

void trimDeltas(std::vector<RulesDelta::Ptr> &deltas, std::uint64_t upToVersion,
                std::size_t maxBytes)
{
    std::size_t bytes = 0;
    auto first = deltas.end();
    while (first != deltas.begin()) {
        const RulesDelta &delta = **(first - 1);
        if (delta.version <= upToVersion) {
            bytes += lineBytes(delta);
            if (bytes > maxBytes)
                break;
        }
        --first;
    }
    deltas.erase(deltas.begin(), first);
}

} // namespace pistachiofall
