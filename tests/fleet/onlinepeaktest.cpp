#include "fleet/onlinepeak.h"

#include "fleet/endpointpool.h"
#include "fleet/fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(OnlinePeak)
{
    OnlinePeak peak;
    SteadyTime now{std::chrono::hours{1}};

    void play(int requests, milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100}) {
            now += milliseconds{100};
            peak.record(requests, now);
        }
    }
};

// The load: waves of two seconds, with four seconds between them.
TEST(OnlinePeak, RemembersTheLastWave)
{
    play(20, seconds{4});
    CHECK_EQUAL(20, peak.value(now));
    play(100, seconds{2});
    play(20, seconds{4});
    CHECK_EQUAL(100, peak.value(now));
}

TEST(OnlinePeak, ForgetsALoadThatIsOver)
{
    play(100, seconds{2});
    play(20, OnlinePeak::Memory + seconds{1});
    CHECK_EQUAL(20, peak.value(now));
}

// Guards against reports of peers that count a request twice for a moment.
TEST(OnlinePeak, OneSampleIsNoPeak)
{
    play(20, seconds{1});
    peak.record(90, now + milliseconds{100});
    CHECK_EQUAL(20, peak.value(now));
}

TEST(OnlinePeak, BatchItemsGetTheRestOfThePeak)
{
    CHECK_EQUAL(8, batchSlotsBesidePeak(8, 0, 10));
    CHECK_EQUAL(3, batchSlotsBesidePeak(8, 40, 10));
    // Batch work never stops.
    CHECK_EQUAL(1, batchSlotsBesidePeak(8, 200, 10));
    CHECK_EQUAL(8, batchSlotsBesidePeak(8, 200, 0));
}

// Guards against items that fill the slots between two waves and are cut in the next one.
TEST(OnlinePeak, PoolLimitsTheItemsOfAnEndpoint)
{
    EndpointPool pool("east-a-1");
    pool.update(chatEndpoint("e1", 8), now);
    const PlacementRequest request{"chat", "east-a", "item", {}};
    int started = 0;
    for (; started < 8 && pool.placeBatch(request, {1, 1, 3}, now); ++started)
        pool.requestStarted("e1", WorkClass::Batch, now);
    CHECK_EQUAL(3, started);
    CHECK(pool.placeBatch(request, {1, 1}, now).has_value());
}
