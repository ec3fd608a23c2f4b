#include "fleet/requestqueue.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(RequestQueue)
{
    RequestQueue queue;
    SteadyTime now{std::chrono::hours{1}};

    void add(std::uint64_t id, int priority, milliseconds startIn)
    {
        queue.add({id, "chat", priority, now + startIn, now + std::chrono::seconds{5}});
    }
};

// Guards against late requests that delay requests which can still meet their objective.
TEST(RequestQueue, PutsLateRequestsLast)
{
    add(1, 0, milliseconds{-10});
    add(2, 1, milliseconds{200});
    add(3, 0, milliseconds{250});
    add(4, 0, milliseconds{100});
    const auto ordered = queue.ordered("chat", now);
    LONGS_EQUAL(4, ordered.size());
    LONGS_EQUAL(4, ordered[0].id);
    LONGS_EQUAL(3, ordered[1].id);
    LONGS_EQUAL(2, ordered[2].id);
    LONGS_EQUAL(1, ordered[3].id);
}

// Guards against counts that include removed requests.
TEST(RequestQueue, DoesNotCountRemovedRequests)
{
    add(1, 0, milliseconds{100});
    queue.remove(1);
    queue.remove(7);
    LONGS_EQUAL(0, queue.count("chat"));
    CHECK(queue.counts().empty());
}
