#pragma once

#include "fleet/endpointusage.h"
#include "fleet/placement.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <tuple>

namespace pistachiofall {

/// An endpoint that a request may be sent to.
struct EndpointCandidate
{
    std::string_view id;
    int slots = 1;
    EndpointUsage usage;
    bool isOtherDomain = false;
    bool isCold = false;
    /// Above 1 for an endpoint that is faster than others, below 1 for a slower one and after
    /// failures.
    double preference = 1;
};

/// Chooses one of the candidates that are offered one after the other, at random in proportion to
/// their weights. The choice depends on the key alone: equal keys choose the same candidate.
class EndpointChoice
{
public:
    /// The key must outlive the choice.
    EndpointChoice(std::string_view key, const UsageAge &usageAge);

    /// Offers an endpoint for an online request: one with a free slot, or one where a batch item
    /// can be preempted, which counts only if no endpoint has a free slot. Returns whether it is
    /// the best one so far.
    bool offerOnline(const EndpointCandidate &candidate);
    /// Offers an endpoint for a batch item that leaves slots free there. Returns whether it is the
    /// best one so far.
    bool offerBatch(const EndpointCandidate &candidate, int slotsToLeave);

    /// Whether the best candidate for an online request is full.
    bool isBestFull() const { return m_best && m_best->isFull; }

private:
    struct Score
    {
        bool isFull = false;
        double rank = 0;
        bool operator<(const Score &other) const
        {
            return std::tie(isFull, rank) < std::tie(other.isFull, other.rank);
        }
    };

    bool take(const Score &score);
    double otherDomainWeight() const;

    std::string_view m_key;
    UsageAge m_usageAge;
    std::optional<Score> m_best;
};

} // namespace pistachiofall
