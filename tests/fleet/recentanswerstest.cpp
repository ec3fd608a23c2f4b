#include "fleet/recentanswers.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::seconds;

TEST_GROUP(RecentAnswers)
{
    RecentAnswers answers;
    SteadyTime now{std::chrono::hours{1}};
};

// Guards against an older answer, told late, that hides a newer one.
TEST(RecentAnswers, KeepsTheNewestTimeOfEachPart)
{
    CHECK(!answers.find(1).has_value());
    answers.record(1, now);
    answers.record(1, now - seconds{1});
    CHECK(answers.find(1) == now);
    answers.record(1, now + seconds{1});
    CHECK(answers.find(1) == now + seconds{1});
    CHECK_EQUAL(1U, answers.size());
}

// Guards against memory that grows with the parts that callers send.
TEST(RecentAnswers, ForgetsTheOldestParts)
{
    for (PromptPart part = 0; part < RecentAnswers::MaxParts + 10; ++part)
        answers.record(part, now + std::chrono::milliseconds{1} * part);
    CHECK_EQUAL(RecentAnswers::MaxParts, answers.size());
    CHECK(!answers.find(9).has_value());
    CHECK(answers.find(10).has_value());
    answers.removeBefore(now + std::chrono::milliseconds{20});
    CHECK(!answers.find(19).has_value());
    CHECK(answers.find(20).has_value());
}
