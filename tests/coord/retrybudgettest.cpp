#include "coord/retrybudget.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::seconds;

TEST_GROUP(RetryBudget){};

// Guards against retries that amplify an overload: if all requests fail, at most a tenth of them is
// retried.
TEST(RetryBudget, AllowsATenthOfTheRequestsAndTheMinimum)
{
    RetryBudget budget;
    const RetryBudget::TimePoint start{seconds{100}};
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest(start);
    int allowed = 0;
    for (int i = 0; i < 1000; ++i)
        allowed += budget.tryRetry(start) ? 1 : 0;
    CHECK_EQUAL(100 + 3, allowed);
}

// Guards against an exhausted budget that is never refilled.
TEST(RetryBudget, ForgetsWhatIsOlderThanTheWindow)
{
    RetryBudget budget;
    const RetryBudget::TimePoint start{seconds{100}};
    for (int i = 0; i < 3; ++i)
        CHECK(budget.tryRetry(start));
    CHECK_FALSE(budget.tryRetry(start + seconds{9}));
    CHECK(budget.tryRetry(start + seconds{10}));
}
