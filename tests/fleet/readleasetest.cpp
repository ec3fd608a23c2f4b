#include "fleet/readlease.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ReadLease)
{
    SteadyTime now{seconds{100}};
    ReadLease lease;
};

// Guards against an owner that answers by a confirmation which was seconds old when it arrived.
TEST(ReadLease, LastsFromTheTimeTheCallWasSent)
{
    CHECK(!lease.mayAnswer(now));
    const auto sent = now - milliseconds{1900};
    lease.recordConfirmation(sent);
    CHECK(lease.mayAnswer(now));
    CHECK(!lease.mayAnswer(sent + ReadLease::Duration));
}

// Guards against a new owner that shows results while the old one still answers without them.
TEST(ReadLease, TheNewOwnerWaitsUntilTheOldOneNoLongerAnswers)
{
    ReadLease old;
    old.recordConfirmation(now);
    lease.recordTakeover(now + milliseconds{1});
    CHECK(!old.mayAnswer(lease.resultsFrom()));
}

// Guards against an owner that answers without results which the store already shows to others.
TEST(ReadLease, DoesNotAnswerWhileAWriteMayBeApplied)
{
    lease.recordConfirmation(now);
    lease.recordWriteSent();
    CHECK(!lease.mayAnswer(now));
    lease.recordWriteSettled();
    CHECK(lease.mayAnswer(now));
    lease.recordWriteSent();
    lease.recordWriteUncertain();
    lease.recordConfirmation(now + seconds{1});
    CHECK(!lease.mayAnswer(now + seconds{1}));
    lease.recordChange();
    CHECK(lease.mayAnswer(now + seconds{1}));
}
