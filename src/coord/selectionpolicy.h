#pragma once

#include <cstdint>
#include <variant>

namespace pistachiofall {

/// Picks two candidates at random and takes the one with the lower last-known load.
struct PowerOfTwoChoices
{ };

/// Takes the candidates in turn. Baseline for comparison with the other policies.
struct RoundRobin
{
    std::uint64_t next = 0;
};

/// Takes the candidate that ranks first for the prefix of the prompt in rendezvous hashing, so that
/// all instances agree without messages. While its last-known load is above the bound, the one that
/// ranks second is taken, and if that is above the bound too, power of two choices decides, so that
/// a hot prefix does not overload an endpoint. Requests without a prefix use power of two choices.
struct PrefixAffinity
{
    /// The maximum load as a fraction of the limit. The rest leaves room for requests that other
    /// instances send before the load is reported again.
    double loadBound = 0.75;
};

using SelectionPolicy = std::variant<PowerOfTwoChoices, RoundRobin, PrefixAffinity>;

} // namespace pistachiofall
