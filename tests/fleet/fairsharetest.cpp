#include "fleet/fairshare.h"

#include "fleet/requestqueue.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(FairShare)
{
    FairShare shares;
    SteadyTime now{std::chrono::hours{1}};
};

// Guards against callers who wait because another organisation sends many times its usual.
TEST(FairShare, OneThatFillsItsLimitIsOver)
{
    shares.update({{"hot", {600, 600}}, {"a", {300, 600}}, {"b", {150, 300}}, {"c", {60, 120}}},
                  now);
    CHECK(shares.isOverShare("hot"));
    CHECK_FALSE(shares.isOverShare("a"));
    CHECK_FALSE(shares.isOverShare("b"));
    CHECK_FALSE(shares.isOverShare("c"));
}

// In a peak all organisations use more of their limits together; nobody is to blame.
TEST(FairShare, NobodyIsOverWhenAllGrowTogether)
{
    shares.update({{"a", {540, 600}}, {"b", {280, 300}}, {"c", {110, 120}}}, now);
    CHECK_FALSE(shares.isOverShare("a"));
    CHECK_FALSE(shares.isOverShare("b"));
    CHECK_FALSE(shares.isOverShare("c"));
}

// What idle organisations leave is not counted against those that use it.
TEST(FairShare, ASingleUserIsNotOver)
{
    shares.update({{"a", {200, 600}}, {"idle", {0, 600}}}, now);
    CHECK_FALSE(shares.isOverShare("a"));
    CHECK_FALSE(shares.isOverShare("idle"));
}

TEST(FairShare, OrganisationsWithoutALimitAreNeverOver)
{
    shares.update({{"open", {900, 0}}, {"a", {100, 600}}}, now);
    CHECK_FALSE(shares.isOverShare("open"));
    CHECK_FALSE(shares.isOverShare("unknown"));
}

// Requests within the share of their organisation go first while they can be in time, and wait for
// no one else.
TEST(FairShare, QueueServesThoseWithinTheirShareFirst)
{
    RequestQueue queue;
    WaitingRequest request;
    request.service = "chat";
    request.deadline = now + milliseconds{5000};
    request.startBy = now + milliseconds{100};
    for (std::uint64_t id = 1; id <= 4; ++id) {
        request.id = id;
        request.isOverShare = id <= 2;
        queue.add(request);
    }
    const auto ordered = queue.ordered("chat", now);
    CHECK_EQUAL(3U, ordered[0].id);
    CHECK_EQUAL(4U, ordered[1].id);
    CHECK_EQUAL(1U, ordered[2].id);
    CHECK_EQUAL(2, queue.countOverShare("chat"));
}
