#pragma once

#include "coord/coordtimes.h"
#include "fleet/promptpart.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace pistachiofall {

/// Remembers when endpoints last answered requests with each prompt part, so that an endpoint's end
/// that becomes known later than such an answer is not held against the part. The parts answered
/// longest ago are forgotten first.
///
/// Not thread safe.
class RecentAnswers
{
public:
    static constexpr std::size_t MaxParts = 1024;

    /// An endpoint has answered a request with the part; ignored if a later answer is known.
    void record(PromptPart part, SteadyTime time);
    /// The time of the last answer that is remembered.
    std::optional<SteadyTime> find(PromptPart part) const;
    /// Forgets the answers before the time.
    void removeBefore(SteadyTime time);
    std::size_t size() const { return m_times.size(); }

private:
    std::map<PromptPart, SteadyTime> m_times;
    /// The same, the oldest first.
    std::set<std::pair<SteadyTime, PromptPart>> m_order;
};

} // namespace pistachiofall
