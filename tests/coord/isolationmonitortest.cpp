#include "coord/isolationmonitor.h"

#include "base/manualclock.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

TEST_GROUP(IsolationMonitor)
{
    const SteadyTime start = ManualClock().now();
    IsolationMonitor contact{"i0"};

    static std::vector<std::string> names(int count)
    {
        std::vector<std::string> all;
        for (int index = 0; index < count; ++index)
            all.push_back("i" + std::to_string(index));
        return all;
    }

    // Sets members and a confirmation of both objects, both a minute ago.
    void joinFleet(int count)
    {
        contact.setMembers(names(count), start - 60s);
        confirm(start - 60s);
    }

    void confirm(SteadyTime asOf)
    {
        contact.confirmed(ConfirmedObject::Rules, asOf);
        contact.confirmed(ConfirmedObject::ShardTable, asOf);
    }

    // Exchanges a heartbeat with a peer, which by default reports that it cannot reach the store.
    void exchange(const std::string &member, SteadyTime sentAt,
                  std::optional<std::chrono::milliseconds> age = 60s)
    {
        contact.heartbeatSent(member, sentAt);
        contact.heartbeatAnswered(member, sentAt, age);
    }
};

TEST(IsolationMonitor, ConfirmationLastsForTheIsolationTimeout)
{
    joinFleet(3);
    CHECK(contact.isIsolated(start));
    confirm(start);
    CHECK_FALSE(contact.isIsolated(start + 4s));
    CHECK(contact.isIsolated(start + 4s + 1ms));
}

// Guards against an instance that knows the current rules but not the current shard table, and
// grants for shards that were taken over.
TEST(IsolationMonitor, BothObjectsMustBeConfirmed)
{
    contact.setMembers(names(3), start - 60s);
    contact.confirmed(ConfirmedObject::Rules, start);
    CHECK(contact.isIsolated(start));
    CHECK_FALSE(contact.confirmationAge(start).has_value());
    contact.confirmed(ConfirmedObject::ShardTable, start - 2s);
    CHECK(contact.confirmationAge(start) == 2000ms);
    contact.confirmed(ConfirmedObject::ShardTable, start - 3s);
    CHECK(contact.confirmationAge(start) == 2000ms);
}

// Guards against instances that stop serving in a store outage, and against a partitioned instance
// that goes on serving.
TEST(IsolationMonitor, SupportOfMoreThanHalfIsEnoughInAStoreOutage)
{
    joinFleet(5);
    exchange("i1", start);
    CHECK(contact.isIsolated(start));
    exchange("i2", start);
    CHECK_FALSE(contact.isIsolated(start + 4s));
    CHECK(contact.isIsolated(start + 4s + 1ms));
}

// Guards against a partition into equal halves in which the half without the store goes on serving.
TEST(IsolationMonitor, SupportOfHalfIsNotEnough)
{
    joinFleet(4);
    exchange("i1", start);
    CHECK(contact.isIsolated(start));
    exchange("i2", start);
    CHECK_FALSE(contact.isIsolated(start));
}

// Guards against a withdrawn key that works for longer than 5 s at an instance whose peers alone
// reach the store: the state of a peer is dated by its own age, not by the age of the answer.
TEST(IsolationMonitor, PeerThatReachesTheStoreConfirmsWhatItKnew)
{
    joinFleet(3);
    exchange("i1", start, 2s);
    CHECK_FALSE(contact.isIsolated(start + 2800ms));
    CHECK(contact.isIsolated(start + 2801ms));
}

// Guards against an answer without an age, from a peer that was just started or resumed, that
// counts as evidence of a store outage or that ends the support by an earlier answer.
TEST(IsolationMonitor, AnswerWithoutAnAgeGivesNoSupport)
{
    joinFleet(3);
    exchange("i1", start, std::nullopt);
    CHECK(contact.isIsolated(start));
    exchange("i1", start + 1s);
    exchange("i1", start + 2s, std::nullopt);
    CHECK_FALSE(contact.isIsolated(start + 5s));
}

TEST(IsolationMonitor, ReportsAnOldConfirmationOnlyAfterAFailedRead)
{
    CHECK_FALSE(contact.reportedAge(start).has_value());
    confirm(start);
    CHECK(contact.reportedAge(start + 3s) == 3000ms);
    CHECK_FALSE(contact.reportedAge(start + 4s).has_value());
    contact.storeFailed(start + 1s);
    CHECK(contact.reportedAge(start + 4s) == 4000ms);
    CHECK(contact.reportedAge(start + 7s) == 7000ms);
    CHECK_FALSE(contact.reportedAge(start + 8s).has_value());
    CHECK(contact.confirmationAge(start + 8s) == 8000ms);
    contact.storeFailed(start - 1s);
    confirm(start + 2s);
    CHECK_FALSE(contact.reportedAge(start + 6s).has_value());
}

// Guards against an interruption of service between the last confirmation before a store outage and
// the first answers that report it.
TEST(IsolationMonitor, StoreOutageBeginsWithoutAGap)
{
    joinFleet(3);
    confirm(start);
    for (int step = 0; step < 200; ++step) {
        const SteadyTime now = start + step * 50ms;
        CHECK_FALSE(contact.isIsolated(now));
        if (step % 20 == 0)
            exchange("i1", now, step * 50ms);
    }
}

// Guards against a process that was paused and counts answers left in its socket buffers as fresh.
TEST(IsolationMonitor, AnswersAreDatedByTheirHeartbeats)
{
    joinFleet(3);
    confirm(start);
    contact.heartbeatSent("i1", start);
    contact.heartbeatSent("i2", start);
    const SteadyTime resumed = start + 60s;
    contact.heartbeatAnswered("i1", start, 60s);
    contact.heartbeatAnswered("i2", start, 100ms);
    CHECK(contact.isIsolated(resumed));
}

// Guards against a late answer that replaces a newer one.
TEST(IsolationMonitor, OlderAnswersDoNotReplaceNewerOnes)
{
    joinFleet(3);
    exchange("i1", start + 1s);
    exchange("i1", start);
    CHECK_FALSE(contact.isIsolated(start + 5s));
}

// Guards against a fleet that stops serving in a store outage because most members have crashed.
TEST(IsolationMonitor, EndedMembersDoNotCountUntilTheyAnswerAgain)
{
    joinFleet(5);
    exchange("i1", start);
    CHECK(contact.isIsolated(start));
    contact.memberEnded("i2", start);
    CHECK(contact.isIsolated(start));
    contact.memberEnded("i3", start);
    CHECK_FALSE(contact.isIsolated(start));
    contact.memberEnded("i1", start);
    CHECK(contact.isIsolated(start));
    exchange("i1", start);
    CHECK(contact.isIsolated(start));
    exchange("i1", start + 1ms);
    CHECK_FALSE(contact.isIsolated(start + 1ms));
}

TEST(IsolationMonitor, SingleMemberIsNeverIsolated)
{
    joinFleet(1);
    CHECK_FALSE(contact.isIsolated(start));
}

// Guards against an instance that starts while the store is down and serves before it knows the
// rules and the table.
TEST(IsolationMonitor, NeverConfirmedInstanceIsIsolated)
{
    CHECK(contact.isIsolated(start));
    contact.setMembers(names(2), start);
    exchange("i1", start);
    CHECK(contact.isIsolated(start));
    confirm(start - 60s);
    CHECK_FALSE(contact.isIsolated(start));
}

// Guards against an interruption of service in a store outage whenever more members become known:
// one of 4 instances started in an outage refused requests after it had been ready.
TEST(IsolationMonitor, NewMembersDoNotCountBeforeTheyCouldAnswer)
{
    joinFleet(2);
    exchange("i1", start);
    contact.setMembers(names(5), start);
    CHECK_FALSE(contact.isIsolated(start + 1499ms));
    CHECK(contact.isIsolated(start + 1500ms));
    exchange("i2", start + 1400ms);
    CHECK_FALSE(contact.isIsolated(start + 1500ms));
}

// Guards against an answer that is dropped because its member became known after the last call of
// setMembers(): the instance was isolated again when the age in the answer reached its bound.
TEST(IsolationMonitor, AnswerOfAMemberThatWasNotNamedYetCounts)
{
    joinFleet(1);
    exchange("i1", start);
    contact.setMembers(names(3), start + 2s);
    CHECK_FALSE(contact.isIsolated(start + 2s));
    CHECK(contact.isIsolated(start + 4001ms));
}

// Guards against an instance that counts as a majority of one while all its peers are new and have
// not answered yet.
TEST(IsolationMonitor, MemberAmongNewMembersIsIsolated)
{
    joinFleet(1);
    CHECK_FALSE(contact.isIsolated(start));
    contact.setMembers(names(3), start);
    CHECK(contact.isIsolated(start));
}

// Guards against a partitioned instance that drops the members that do not answer and serves again
// because no member without support is left.
TEST(IsolationMonitor, MembersAreKeptWithoutConfirmation)
{
    joinFleet(3);
    contact.setMembers(names(1), start);
    CHECK(contact.isIsolated(start));
    contact.memberEnded("i1", start);
    contact.memberEnded("i2", start);
    contact.setMembers(names(1), start);
    CHECK_FALSE(contact.isIsolated(start));
    contact.setMembers(names(3), start + 1s);
    confirm(start + 1s);
    contact.setMembers(names(1), start + 1s);
    CHECK_FALSE(contact.isIsolated(start + 60s));
}

// Guards against a large fleet that stops serving in every store outage: with three heartbeats a
// second per instance, no instance gets answers from half of 410 members within 4 s.
TEST(IsolationMonitor, SampleOfALargeFleetIsEnough)
{
    joinFleet(410);
    CHECK(contact.isIsolated(start));
    for (int index = 1; index <= 12; ++index) {
        const SteadyTime sentAt = start + (index - 1) / 3 * 1s;
        const std::string member = "i" + std::to_string(index * 30);
        contact.heartbeatSent(member, sentAt);
        if (index % 2 == 0)
            contact.heartbeatAnswered(member, sentAt, 60s);
    }
    CHECK_FALSE(contact.isIsolated(start + 4s));
    contact.heartbeatSent("i7", start + 4s);
    CHECK(contact.isIsolated(start + 4s));
    CHECK(contact.isIsolated(start + 60s));
}
