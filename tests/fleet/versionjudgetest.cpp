#include "fleet/versionjudge.h"

#include <cstdio>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

namespace {

constexpr std::uint64_t QuoteRoute = 1;
constexpr std::uint64_t TagRoute = 2;
constexpr unsigned Seed = 7;

/// How a version answers: the parts of its answers that are failures or slow.
struct Behaviour
{
    double failures = 0;
    double slow = 0;
};

/// Plays answers of two versions, spread over the endpoints of the target version.
class Answers
{
public:
    void play(std::uint64_t route, int ofTarget, Behaviour target, int ofOthers, Behaviour others)
    {
        for (int answer = 0; answer < ofTarget; ++answer) {
            const AnswerTally tally = draw(target);
            m_tallies.routes[route].target += tally;
            m_tallies.targetEndpoints[static_cast<std::uint64_t>(answer % EndpointCount)] += tally;
        }
        for (int answer = 0; answer < ofOthers; ++answer)
            m_tallies.routes[route].others += draw(others);
    }

    RolloutTallies &tallies() { return m_tallies; }

private:
    static constexpr int EndpointCount = 8;

    AnswerTally draw(Behaviour behaviour)
    {
        const double point = m_unit(m_random);
        const bool isFailure = point < behaviour.failures;
        const bool isSlow = !isFailure && point < behaviour.failures + behaviour.slow;
        return {1, isFailure ? 1U : 0U, isSlow ? 1U : 0U};
    }

    std::mt19937 m_random{Seed};
    std::uniform_real_distribution<double> m_unit;
    RolloutTallies m_tallies;
};

} // namespace

TEST_GROUP(VersionJudge)
{
    Answers answers;
};

TEST(VersionJudge, SoundVersionIsNotCondemned)
{
    answers.play(QuoteRoute, 2000, {0.005, 0.02}, 20000, {0.005, 0.02});
    CHECK_FALSE(isClearlyWorse(answers.tallies()));
}

// Guards against a version that is taken back because the whole fleet is in trouble.
TEST(VersionJudge, NoisyButSoundVersionIsNotCondemned)
{
    answers.play(QuoteRoute, 500, {0.25, 0.2}, 5000, {0.25, 0.2});
    CHECK_FALSE(isClearlyWorse(answers.tallies()));
}

// A fifth of failures must show long before the fiftieth bad answer.
TEST(VersionJudge, FailingVersionIsCondemnedEarly)
{
    answers.play(QuoteRoute, 120, {0.2, 0}, 2000, {0.005, 0});
    CHECK(isClearlyWorse(answers.tallies()));
    CHECK(answers.tallies().total().target.bad() < 50);
}

TEST(VersionJudge, SlowVersionIsCondemned)
{
    answers.play(QuoteRoute, 60, {0, 0.9}, 1000, {0, 0.03});
    CHECK(isClearlyWorse(answers.tallies()));
}

// Guards against a fault on one small route that disappears among the answers of the others.
TEST(VersionJudge, FaultOnOneRouteIsSeen)
{
    answers.play(QuoteRoute, 2000, {0.005, 0.01}, 20000, {0.005, 0.01});
    answers.play(TagRoute, 60, {0.4, 0}, 600, {0.005, 0});
    CHECK(isClearlyWorse(answers.tallies()));
}

// Guards against a version that is condemned for the fault of one of its endpoints.
TEST(VersionJudge, OneFaultyEndpointCondemnsNoVersion)
{
    answers.play(QuoteRoute, 700, {0.002, 0}, 7000, {0.002, 0});
    const AnswerTally faulty{100, 90, 0};
    answers.tallies().routes[QuoteRoute].target += faulty;
    answers.tallies().targetEndpoints[0] += faulty;
    CHECK_FALSE(isClearlyWorse(answers.tallies()));
}

TEST(VersionJudge, FewBadAnswersAreNoEvidence)
{
    answers.play(QuoteRoute, 5, {1, 0}, 100, {0, 0});
    CHECK_FALSE(isClearlyWorse(answers.tallies()));
}

// Guards against a sound version that chance condemns: 400 rollouts, judged after every 20 answers.
TEST(VersionJudge, ChanceSeldomCondemns)
{
    std::mt19937 random(Seed);
    std::bernoulli_distribution isBad(0.03);
    int condemned = 0;
    for (int rollout = 0; rollout < 400; ++rollout) {
        RolloutTallies tallies;
        bool isCondemned = false;
        for (std::uint64_t answer = 0; answer < 600; ++answer) {
            const AnswerTally tally{1, isBad(random) ? 1U : 0U, 0};
            tallies.routes[QuoteRoute].target += tally;
            tallies.targetEndpoints[answer % 8] += tally;
            for (int other = 0; other < 10; ++other)
                tallies.routes[QuoteRoute].others += {1, isBad(random) ? 1U : 0U, 0};
            isCondemned = isCondemned || (answer % 20 == 0 && isClearlyWorse(tallies));
        }
        condemned += isCondemned ? 1 : 0;
    }
    std::printf("sound versions condemned: %d of 400 (seed %u)\n", condemned, Seed);
    CHECK(condemned <= 4);
}
