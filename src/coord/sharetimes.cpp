#include "coord/sharetimes.h"

#include <algorithm>

namespace pistachiofall {

ShareTimes shareTimes(const PlaceStarts &starts, bool isUndivided, SteadyTime knownSince,
                      SteadyTime divisionKnownSince)
{
    const SteadyTime own = starts[isUndivided ? FirstPlace : SecondPlace];
    const SteadyTime other = starts[isUndivided ? SecondPlace : FirstPlace];
    const SteadyTime firstHalf = std::max(starts[FirstPlace], knownSince);
    // A holder that uses both places need not wait: no other holder can use the second half.
    const SteadyTime agreed =
            std::min(divisionKnownSince + DivisionChangeDelay, std::max(other, knownSince));
    const SteadyTime secondHalf = std::max({own, agreed, knownSince});
    return {std::min(firstHalf, secondHalf), std::max(firstHalf, secondHalf)};
}

} // namespace pistachiofall
