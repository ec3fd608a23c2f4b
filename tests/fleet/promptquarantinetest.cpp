#include "fleet/promptquarantine.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr PromptPart Shared = 1;
constexpr PromptPart Harmful = 2;
const PromptQuarantine::IsTester isTester = [](PromptPart) { return true; };
const PromptQuarantine::IsTester isNoTester = [](PromptPart) { return false; };

} // namespace

TEST_GROUP(PromptQuarantine)
{
    PromptQuarantine quarantine;
    SteadyTime now{std::chrono::hours{1}};
    std::uint64_t nextEndpoint = 100;

    bool isRejected(const PromptParts &parts)
    {
        return quarantine.findQuarantined(parts, isTester, now).has_value();
    }
    // Several endpoints end one after the other before they answer a request with the parts.
    void endEndpoints(int count, const PromptParts &parts)
    {
        for (int index = 0; index < count; ++index) {
            now += seconds{1};
            quarantine.recordEnd(parts, {nextEndpoint++, now});
        }
    }
    void exchange(PromptQuarantine & from, PromptQuarantine & to)
    {
        for (const PromptPartReport &report : from.reports(now))
            to.recordPeer(report, now);
    }
};

// Guards against a part that goes on ending endpoints, and against sound requests that are rejected
// for what they share with the harmful ones.
TEST(PromptQuarantine, RejectsThePartThatEndsEndpointsAndNoOther)
{
    for (int index = 0; index < 3; ++index) {
        CHECK(!isRejected({Shared, Harmful}));
        endEndpoints(1, {Shared, Harmful});
        quarantine.recordAnswer({Shared}, now + milliseconds{50});
    }
    CHECK(isRejected({Shared, Harmful}));
    CHECK(!isRejected({Shared}));
    CHECK_EQUAL(1U, quarantine.quarantinedCount());
}

// Guards against instances that each see too few ends to act.
TEST(PromptQuarantine, InstancesPutTogetherWhatTheySee)
{
    PromptQuarantine peers[3];
    for (PromptQuarantine &peer : peers) {
        now += seconds{1};
        peer.recordEnd({Harmful}, {nextEndpoint++, now});
        exchange(peer, quarantine);
    }
    CHECK(isRejected({Harmful}));
    exchange(quarantine, peers[0]);
    CHECK(peers[0].findQuarantined({Harmful}, isTester, now).has_value());
}

// Guards against one end that counts several times because several requests or instances saw it.
TEST(PromptQuarantine, CountsEachEndOnce)
{
    PromptQuarantine peer;
    for (int request = 0; request < 5; ++request)
        quarantine.recordEnd({Shared}, {nextEndpoint, now});
    peer.recordEnd({Shared}, {nextEndpoint, now});
    now += seconds{2};
    exchange(peer, quarantine);
    exchange(peer, quarantine);
    CHECK(!isRejected({Shared}));
}

// Guards against a part that is rejected because many endpoints lost their power at once.
TEST(PromptQuarantine, EndsAtTheSameTimeCountAsOne)
{
    for (int endpoint = 0; endpoint < 20; ++endpoint)
        quarantine.recordEnd({Shared}, {nextEndpoint++, now + milliseconds{10} * endpoint});
    CHECK(!isRejected({Shared}));
}

// Guards against a request that ends an endpoint with each of its retries and counts once.
TEST(PromptQuarantine, RetriesOfOneRequestCountEach)
{
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        quarantine.recordEnd({Harmful}, {nextEndpoint++, now, endpoint > 0});
    CHECK(isRejected({Harmful}));
}

// Guards against a rare first part that is rejected because only harmful requests had it lately.
TEST(PromptQuarantine, ThePartThatExplainsTheEndsIsTheOnlyOneBlamed)
{
    constexpr PromptPart Other = 3;
    endEndpoints(2, {Shared, Harmful});
    endEndpoints(1, {Other, Harmful});
    endEndpoints(2, {Shared, Harmful});
    CHECK(isRejected({Shared, Harmful}));
    CHECK(!isRejected({Shared}));
    CHECK(!isRejected({Other}));
    // A second part of the kind, behind the same first part.
    constexpr PromptPart Second = 4;
    endEndpoints(3, {Shared, Second});
    CHECK(isRejected({Second}));
    CHECK(!isRejected({Shared}));
}

// Guards against a harmful first part that hides behind parts that are all different.
TEST(PromptQuarantine, AFirstPartIsBlamedWhenNothingElseExplainsTheEnds)
{
    for (PromptPart part = 10; part < 13; ++part)
        endEndpoints(1, {Harmful, part});
    CHECK(isRejected({Harmful, 99}));
    CHECK(!isRejected({10}));
}

// Guards against a sound part that stays rejected although an instance has an answer for it.
TEST(PromptQuarantine, AnAnswerAnywhereClearsThePart)
{
    PromptQuarantine peer;
    endEndpoints(3, {Shared});
    CHECK(isRejected({Shared}));
    exchange(quarantine, peer);
    now += milliseconds{100};
    CHECK_EQUAL(1U, peer.recordAnswer({Shared}, now).size());
    exchange(peer, quarantine);
    CHECK(!isRejected({Shared}));
    // What a third instance still reports of the time before is no news.
    PromptQuarantine slow;
    for (std::uint64_t endpoint = 100; endpoint < 103; ++endpoint)
        slow.recordEnd({Shared}, {endpoint, now - seconds{3}});
    exchange(slow, quarantine);
    CHECK(!isRejected({Shared}));
}

// Guards against a quarantine that never ends, and against many endpoints lost when it does.
TEST(PromptQuarantine, OneRequestTestsThePartAfterTheQuarantine)
{
    endEndpoints(3, {Harmful});
    now += minutes{1};
    CHECK(quarantine.findQuarantined({Harmful}, isNoTester, now).has_value());
    CHECK(!quarantine.admit({Harmful}, isTester, now).has_value());
    CHECK(quarantine.admit({Harmful}, isTester, now).has_value());
    now += seconds{1};
    quarantine.recordEnd({Harmful}, {nextEndpoint++, now});
    now += minutes{1};
    CHECK(isRejected({Harmful}));
    CHECK(quarantine.remaining(Harmful, now) > seconds{50});
    now += minutes{1};
    CHECK(!quarantine.admit({Harmful}, isTester, now).has_value());
    quarantine.recordAnswer({Harmful}, now);
    CHECK(!quarantine.findQuarantined({Harmful}, isNoTester, now).has_value());
}

// Guards against memory that grows with the parts, and against parts that are never forgotten.
TEST(PromptQuarantine, IsBoundedAndForgets)
{
    for (PromptPart part = 1; part <= 1000; ++part)
        quarantine.recordEnd({part}, {nextEndpoint++, now + milliseconds{1} * part});
    CHECK(quarantine.suspectCount() <= 256);
    CHECK(quarantine.reports(now).size() <= 16);
    quarantine.removeExpired(now + minutes{1});
    CHECK(quarantine.suspectCount() > 0);
    quarantine.removeExpired(now + minutes{60});
    CHECK_EQUAL(0U, quarantine.suspectCount());
}
