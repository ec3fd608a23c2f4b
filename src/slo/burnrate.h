#pragma once

#include "slo/slocounts.h"

#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// The share of first tokens and of token gaps that must meet the latency objective (design page,
/// section 1.3).
inline constexpr double DefaultLatencyShare = 0.95;

/// The share of events that must be good for each objective, below 1.
struct ObjectiveShares
{
    double availability = 0.999;
    double firstToken = DefaultLatencyShare;
    double tokenGap = DefaultLatencyShare;
};

/// The error budget consumption of one organisation for one objective at one target.
struct BurnRate
{
    SloKey key;
    /// The events within the window.
    SloCount window;
    /// The events since the instances started.
    SloCount total;
    /// The burn rate: the share of bad events within the window divided by the allowed share. At 1
    /// the error budget is used up exactly; above 1 the objective is missed.
    double rate = 0;
    /// The remaining share of the error budget since the start; negative when it is exceeded.
    double budgetLeft = 1;
};

/// The service-level counters of several instances by instance name.
using FleetSloCounts = std::map<std::string, SloCounts>;

/// Computes the burn rates between two readings. The organisation with the highest burn rate comes
/// first, and within an organisation the objective with the highest one. Instances that are missing
/// in one of the readings are left out, because their events within the window are unknown. A
/// counter that decreased belongs to a process that started within the window, so its new value is
/// its increase within the window.
std::vector<BurnRate> computeBurnRates(const FleetSloCounts &before, const FleetSloCounts &after,
                                       const ObjectiveShares &shares);

} // namespace pistachiofall
