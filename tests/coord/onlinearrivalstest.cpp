#include "coord/onlinearrivals.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr OnlineArrivals::TimePoint Start{seconds{1000}};

} // namespace

TEST_GROUP(OnlineArrivals)
{
    OnlineArrivals arrivals;

    void record(int count, OnlineArrivals::TimePoint now)
    {
        for (int i = 0; i < count; ++i)
            arrivals.record(now);
    }
};

// Guards against a reserve for a few requests per second, which costs batch throughput more than
// the revocations do.
TEST(OnlineArrivals, FewRequestsNeedNoReserve)
{
    for (int i = 0; i < 8; ++i) {
        record(2, Start + i * OnlineArrivals::Interval);
        CHECK_EQUAL(0, arrivals.duringRevocation(Start + i * OnlineArrivals::Interval));
    }
}

// Guards against a reserve that reacts late to a burst or ends at a pause within the burst.
TEST(OnlineArrivals, BurstCountsAtOnceAndForTheWholeWindow)
{
    record(2, Start);
    record(14, Start + milliseconds{10});
    CHECK_EQUAL(3, arrivals.duringRevocation(Start + milliseconds{10}));
    const auto last = Start + OnlineArrivals::WindowIntervals * OnlineArrivals::Interval;
    CHECK_EQUAL(3, arrivals.duringRevocation(last - milliseconds{1}));
    CHECK_EQUAL(0, arrivals.duringRevocation(last));
    // The ring entry that counted the burst is reused.
    record(3, last);
    CHECK_EQUAL(1, arrivals.duringRevocation(last));
}
