#pragma once

#include "coord/batchreserve.h"

#include <variant>

namespace pistachiofall {

/// Batch requests wait behind online requests, leave a reserve of slots free, and have their slots
/// revoked for waiting online requests.
struct OnlineFirst
{
    BatchReserve reserve{};

    bool operator==(const OnlineFirst &) const = default;
};

/// All requests wait in one first-in, first-out queue, and no slot is revoked. Baseline for
/// comparison with OnlineFirst.
struct SingleQueue
{
    bool operator==(const SingleQueue &) const = default;
};

/// The order in which the owner of an endpoint serves online and batch requests.
using QueuePolicy = std::variant<OnlineFirst, SingleQueue>;

} // namespace pistachiofall
