#include "slo/burnrate.h"

#include "slo/objective.h"

#include <algorithm>
#include <tuple>

namespace pistachiofall {

namespace {

double requiredShareOf(const std::string &objective, const ObjectiveShares &shares)
{
    if (objective == toString(Objective::FirstToken))
        return shares.firstToken;
    if (objective == toString(Objective::TokenGap))
        return shares.tokenGap;
    return shares.availability;
}

// Returns how much the counters increased between two readings. Counters restart at zero with their
// process, so after a reset the increase is their new value.
SloCount increaseBetween(const SloCount &before, const SloCount &after)
{
    const bool isReset = after.requests < before.requests || after.bad < before.bad;
    if (isReset)
        return after;
    return {after.requests - before.requests, after.bad - before.bad};
}

void add(SloCount &sum, const SloCount &count)
{
    sum.requests += count.requests;
    sum.bad += count.bad;
}

// Returns the share of bad events divided by the allowed share; zero if there were no events.
double budgetUse(const SloCount &count, double allowedShare)
{
    if (count.requests == 0)
        return 0;
    const double badShare = static_cast<double>(count.bad) / static_cast<double>(count.requests);
    return badShare / allowedShare;
}

// Sorts organisations by their highest burn rate, descending, and keeps the rates of an
// organisation together.
void sortWorstFirst(std::vector<BurnRate> &rates)
{
    std::map<std::string, double> highestRates;
    for (const BurnRate &rate : rates) {
        double &value = highestRates[rate.key.organisation];
        value = std::max(value, rate.rate);
    }
    std::ranges::sort(rates, [&highestRates](const BurnRate &left, const BurnRate &right) {
        return std::tuple(-highestRates[left.key.organisation], left.key.organisation, -left.rate,
                          left.key)
                < std::tuple(-highestRates[right.key.organisation], right.key.organisation,
                             -right.rate, right.key);
    });
}

} // namespace

std::vector<BurnRate> computeBurnRates(const FleetSloCounts &before, const FleetSloCounts &after,
                                       const ObjectiveShares &shares)
{
    std::map<SloKey, BurnRate> rates;
    for (const auto &[instance, counts] : after) {
        const auto earlierCounts = before.find(instance);
        if (earlierCounts == before.end())
            continue;
        for (const auto &[key, count] : counts) {
            const auto earlierCount = earlierCounts->second.find(key);
            BurnRate &rate = rates[key];
            add(rate.window,
                increaseBetween(earlierCount == earlierCounts->second.end() ? SloCount{}
                                                                            : earlierCount->second,
                                count));
            add(rate.total, count);
        }
    }
    std::vector<BurnRate> result;
    for (auto &[key, rate] : rates) {
        const double allowedShare = 1 - requiredShareOf(key.objective, shares);
        rate.key = key;
        rate.rate = budgetUse(rate.window, allowedShare);
        rate.budgetLeft = 1 - budgetUse(rate.total, allowedShare);
        result.push_back(std::move(rate));
    }
    sortWorstFirst(result);
    return result;
}

} // namespace pistachiofall
