#include "fleet/versionjudge.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace pistachiofall {

namespace {

// Fewer bad answers are no evidence, whatever their part.
constexpr std::uint32_t MinBadAnswers = 6;
// The part of bad answers that a sound version is allowed in any case, and the multiple of what
// the other versions have.
constexpr double AllowedBadPart = 0.02;
constexpr double AllowedMultiple = 1.5;
// Standard deviations beyond which chance does not explain the difference.
constexpr double Deviations = 4;
// An endpoint with fewer answers says nothing about how far bad answers are spread.
constexpr std::uint32_t MinAnswersOfEndpoint = 3;
// An endpoint counts as affected when it has this part of the mean number of bad answers.
constexpr double AffectedPartOfMean = 0.3;
// The part of the endpoints that must be affected.
constexpr double AffectedEndpoints = 0.4;

bool exceedsChance(std::uint32_t badOfTarget, std::uint32_t answersOfTarget,
                   std::uint32_t badOfOthers, std::uint32_t answersOfOthers)
{
    if (badOfTarget < MinBadAnswers)
        return false;
    const double target = answersOfTarget;
    const double others = answersOfOthers;
    // Half a bad answer more, as few answers without a bad one do not prove that there are none.
    const double otherPart = (badOfOthers + 0.5) / (others + 1);
    const double allowed = std::clamp(otherPart * AllowedMultiple, AllowedBadPart, 1.0);
    const double variance = allowed * (1 - allowed) * (target + target * target / (others + 1));
    return badOfTarget - target * allowed > Deviations * std::sqrt(variance);
}

bool isWorse(const RolloutTallies::Route &route)
{
    const AnswerTally &target = route.target;
    const AnswerTally &others = route.others;
    return exceedsChance(target.failures, target.answers, others.failures, others.answers)
            || exceedsChance(target.slow, target.answers, others.slow, others.answers)
            || exceedsChance(target.bad(), target.answers, others.bad(), others.answers);
}

bool isSpread(const RolloutTallies &tallies)
{
    std::vector<double> bad;
    for (const auto &[endpoint, tally] : tallies.targetEndpoints) {
        if (tally.answers >= MinAnswersOfEndpoint)
            bad.push_back(tally.bad());
    }
    const auto judged = static_cast<double>(bad.size());
    const double least = std::accumulate(bad.begin(), bad.end(), 0.0) / judged * AffectedPartOfMean;
    const auto affected = static_cast<double>(std::count_if(
            bad.begin(), bad.end(), [least](double count) { return count >= least; }));
    return judged <= 1 || affected >= std::max(2.0, std::floor(AffectedEndpoints * judged));
}

} // namespace

bool isClearlyWorse(const RolloutTallies &tallies)
{
    const bool isWorseSomewhere = isWorse(tallies.total())
            || std::any_of(tallies.routes.begin(), tallies.routes.end(),
                           [](const auto &route) { return isWorse(route.second); });
    return isWorseSomewhere && isSpread(tallies);
}

} // namespace pistachiofall
