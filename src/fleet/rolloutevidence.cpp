#include "fleet/rolloutevidence.h"

namespace pistachiofall {

namespace {

// Below "several times slower", above what queues at a loaded endpoint add.
constexpr double SlowFactor = 2.5;
constexpr int MinAnswersForMean = 10;
constexpr double NewAnswerWeight = 0.05;

} // namespace

RolloutTallies &RolloutTallies::operator+=(const RolloutTallies &other)
{
    for (const auto &[name, route] : other.routes) {
        routes[name].target += route.target;
        routes[name].others += route.others;
    }
    for (const auto &[endpoint, tally] : other.targetEndpoints)
        targetEndpoints[endpoint] += tally;
    return *this;
}

RolloutTallies::Route RolloutTallies::total() const
{
    Route sum;
    for (const auto &[name, route] : routes) {
        sum.target += route.target;
        sum.others += route.others;
    }
    return sum;
}

void AnswerPace::recordOther(std::uint64_t route, std::chrono::duration<double> took)
{
    Mean &mean = m_means[route];
    ++mean.answers;
    // The first answers count equally.
    const double weight = mean.answers < MinAnswersForMean ? 1.0 / mean.answers : NewAnswerWeight;
    mean.value += (took - mean.value) * weight;
}

bool AnswerPace::isSlow(std::uint64_t route, std::chrono::duration<double> took) const
{
    const auto found = m_means.find(route);
    return found != m_means.end() && found->second.answers >= MinAnswersForMean
            && took > found->second.value * SlowFactor;
}

void RolloutEvidence::set(const std::string &instance, std::uint64_t incarnation,
                          RolloutTallies tallies)
{
    RolloutTallies &known = m_processes[{instance, incarnation}];
    const auto answers = [](const RolloutTallies &each) {
        const RolloutTallies::Route total = each.total();
        return total.target.answers + total.others.answers;
    };
    if (answers(tallies) >= answers(known))
        known = std::move(tallies);
}

RolloutTallies RolloutEvidence::sum() const
{
    RolloutTallies sum;
    for (const auto &[process, tallies] : m_processes)
        sum += tallies;
    return sum;
}

} // namespace pistachiofall
