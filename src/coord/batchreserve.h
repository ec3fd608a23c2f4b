#pragma once

#include <variant>

namespace pistachiofall {

/// Reserves as many slots as online requests arrive while a revocation takes place, at the rate of
/// the busiest recent interval; at most a quarter of the limit, rounded up. See OnlineArrivals.
struct ArrivalReserve
{
    bool operator==(const ArrivalReserve &) const = default;
};

/// Reserves a quarter of the limit, rounded up. Baseline for comparison with ArrivalReserve.
struct QuarterReserve
{
    bool operator==(const QuarterReserve &) const = default;
};

/// How many slots of an endpoint are withheld from batch requests for the next online requests.
using BatchReserve = std::variant<ArrivalReserve, QuarterReserve>;

} // namespace pistachiofall
