#include "coord/endpointreachability.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using TimePoint = EndpointReachability::TimePoint;

constexpr TimePoint Start{seconds{1000}};

} // namespace

TEST_GROUP(EndpointReachability)
{
    EndpointReachability endpoint;

    void pause()
    {
        endpoint.onConnectFailed(1, Start);
        endpoint.onConnectFailed(2, Start);
    }
};

// Guards against one faulty instance whose failures pause an endpoint for all instances.
TEST(EndpointReachability, OneFailureOrFailuresBetweenAnswersCauseNoPause)
{
    for (std::uint64_t slot = 1; slot < 20; ++slot) {
        endpoint.onConnectFailed(slot, Start);
        CHECK(endpoint.maySend(Start));
        endpoint.onReached();
    }
}

// Guards against requests that fail because they are sent to an endpoint that is down.
TEST(EndpointReachability, SendsOneProbeAfterEachPauseAndPausesLongerEachTime)
{
    pause();
    TimePoint now = Start;
    for (const milliseconds expected : {milliseconds{500}, milliseconds{1000}, milliseconds{2000},
                                        milliseconds{4000}, milliseconds{4000}}) {
        CHECK_FALSE(endpoint.maySend(now + expected - milliseconds{1}));
        now += expected;
        CHECK(endpoint.maySend(now));
        endpoint.onSent(7, now);
        CHECK_FALSE(endpoint.maySend(now));
        endpoint.onConnectFailed(7, now);
    }
}

// Guards against a pause that grows with the requests in flight when the endpoint failed.
TEST(EndpointReachability, LateFailuresOfOtherRequestsDoNotCount)
{
    pause();
    for (std::uint64_t slot = 3; slot < 40; ++slot)
        endpoint.onConnectFailed(slot, Start + milliseconds{10});
    CHECK(endpoint.maySend(Start + EndpointReachability::FirstPause));
}

// Guards against an endpoint that stays paused because the outcome of its probe was lost.
TEST(EndpointReachability, AProbeThatIsLostIsRepeatedAndOneThatArrivesEndsThePause)
{
    pause();
    TimePoint now = Start + EndpointReachability::FirstPause;
    endpoint.onSent(7, now);
    now += EndpointReachability::FirstPause;
    CHECK(endpoint.maySend(now));
    endpoint.onSent(8, now);
    endpoint.onReached();
    CHECK_FALSE(endpoint.isPaused());
    CHECK(endpoint.maySend(now));
}
