#include "fleet/leavingendpoints.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(LeavingEndpoints)
{
    SteadyTime now{std::chrono::hours{1}};
    LeavingEndpoints leaving;
};

// Guards against an announcement that is taken for one of the next process under the same id.
TEST(LeavingEndpoints, HoldsForOneProcess)
{
    CHECK(leaving.add({"e1", 100}, now));
    CHECK(!leaving.add({"e1", 100}, now));
    CHECK(leaving.contains({"e1", 100}));
    CHECK(!leaving.contains({"e1", 200}));
    CHECK(!leaving.contains({"e2", 100}));
}

// Guards against memory and reports that grow with the endpoints that ever left.
TEST(LeavingEndpoints, IsBounded)
{
    for (int index = 0; index < 5000; ++index)
        leaving.add({"e" + std::to_string(index), 1}, now + seconds{1} * index);
    now += seconds{4999};
    CHECK(leaving.count() <= 1024);
    CHECK(leaving.contains({"e4999", 1}));
    CHECK(leaving.recent(now).size() <= 32);
    CHECK_EQUAL(std::string("e4999"), leaving.recent(now).front().id);
    leaving.removeExpired(now + minutes{31});
    CHECK_EQUAL(0U, leaving.count());
}
