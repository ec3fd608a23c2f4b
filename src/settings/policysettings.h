#pragma once

namespace pistachiofall {

/// How an endpoint is selected among those that serve a model.
enum class SelectionKind {
    PowerOfTwo,
    RoundRobin,
    PrefixAffinity,
};

/// Where the rate and burst limits of an organisation are enforced.
enum class LimitKind {
    /// At two holders, each with half of the token bucket.
    Holders,
    /// At each instance independently, with the rate and burst divided by the number of known
    /// members.
    Local,
};

/// How batch requests share endpoints with online requests.
enum class BatchPriority {
    /// Online requests take precedence.
    OnlineFirst,
    /// Both share one queue; no slots are reserved and none are revoked.
    None,
};

/// How the number of slots that are reserved for online requests at an endpoint is determined.
enum class BatchReserveKind {
    /// From the recent arrivals of online requests.
    Arrivals,
    /// A quarter of the slots.
    Quarter,
};

/// Section [policy]. The defaults are meant for production; the other values are baselines for
/// measurements.
struct PolicySettings
{
    SelectionKind selection = SelectionKind::PowerOfTwo;
    LimitKind limits = LimitKind::Holders;
    BatchPriority batchPriority = BatchPriority::OnlineFirst;
    BatchReserveKind batchReserve = BatchReserveKind::Quarter;
};

} // namespace pistachiofall
