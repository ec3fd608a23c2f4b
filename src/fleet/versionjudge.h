#pragma once

#include "fleet/rolloutevidence.h"

namespace pistachiofall {

/// Whether the target version of a rollout is clearly worse than the others: a larger part of its
/// answers are failures or slow, on one route or over all, by more than chance explains. Answers of
/// the other versions in the same time are the measure, so that faults which meet both versions, a
/// store outage or an overloaded fleet condemn neither. Bad answers of few among several endpoints
/// count as faults of those endpoints and not of the version.
bool isClearlyWorse(const RolloutTallies &tallies);

} // namespace pistachiofall
