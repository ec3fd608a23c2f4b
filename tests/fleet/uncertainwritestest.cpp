#include "fleet/uncertainwrites.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::seconds;

TEST_GROUP(UncertainWrites)
{
    UncertainWrites writes;
    SteadyTime now = SteadyTime{} + seconds{1000};
};

// Guards against a repeated call that is refused as if the first one had not been.
TEST(UncertainWrites, AreKnownUntilTheyAreSettled)
{
    CHECK_FALSE(writes.mayBeApplied("job-1", now));
    writes.record("job-1", now);
    CHECK(writes.mayBeApplied("job-1", now + seconds{5}));
    CHECK_FALSE(writes.mayBeApplied("job-2", now + seconds{5}));
    writes.settle("job-1");
    CHECK_FALSE(writes.mayBeApplied("job-1", now + seconds{5}));
}

TEST(UncertainWrites, AreForgottenAfterAMinute)
{
    writes.record("job-1", now);
    CHECK(writes.mayBeApplied("job-1", now + seconds{60}));
    CHECK_FALSE(writes.mayBeApplied("job-1", now + seconds{61}));
}
