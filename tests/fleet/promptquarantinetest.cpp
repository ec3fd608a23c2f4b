#include "fleet/promptquarantine.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <random>
#include <set>
#include <string>

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

namespace {

constexpr int RandomCases = 200;
constexpr int OrdersPerCase = 4;
constexpr PromptPart RandomParts = 6;

// What some instances know of a few parts, as reports: random requests with ends and answers. The
// reports of one end differ by the time that they took.
std::vector<PromptPartReport> randomReports(std::mt19937_64 &random)
{
    const auto pick = [&random](std::uint64_t count) { return random() % count; };
    std::vector<PromptPartReport> reports;
    for (std::uint64_t end = 0, count = 3 + pick(14); end < count; ++end) {
        const std::uint64_t endpoint = pick(12);
        for (std::size_t depth = 0; depth < 3; ++depth) {
            PromptPartReport report;
            report.part = 2 * depth + pick(2);
            report.depth = depth;
            const milliseconds age{800 + endpoint * 600 - pick(300)};
            report.ends.push_back({endpoint, age, pick(4) == 0});
            if (pick(12) == 0)
                report.answeredAge = milliseconds{pick(8000)};
            if (pick(5) > 0)
                reports.push_back(std::move(report));
        }
    }
    return reports;
}

// Lets an instance know the entries, in the order given and some of them at once.
std::set<PromptPart> beliefAfter(const std::vector<PromptPartReport> &entries, SteadyTime now,
                                 std::mt19937_64 &random)
{
    PromptQuarantine quarantine;
    for (std::size_t begin = 0; begin < entries.size();) {
        const std::size_t end = std::min(entries.size(), begin + 1 + random() % 4);
        quarantine.recordPeer({entries.begin() + static_cast<std::ptrdiff_t>(begin),
                               entries.begin() + static_cast<std::ptrdiff_t>(end)},
                              now);
        begin = end;
    }
    std::set<PromptPart> quarantined;
    for (PromptPart part = 0; part < RandomParts; ++part) {
        if (quarantine.findQuarantined({part}, isNoTester, now))
            quarantined.insert(part);
    }
    return quarantined;
}

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
        to.recordPeer(from.reports(now), now);
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
    CHECK_EQUAL(1U, peer.recordAnswer({Shared}, now).removed.size());
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

// Guards against a sound part that a peer quarantines, because a report names it before the part
// that ends the endpoints.
TEST(PromptQuarantine, TheOrderOfTheEntriesOfAReportDoesNotMatter)
{
    endEndpoints(3, {Shared, Harmful});
    std::vector<PromptPartReport> reports = quarantine.reports(now);
    CHECK_EQUAL(2U, reports.size());
    for (int order = 0; order < 2; ++order) {
        PromptQuarantine peer;
        peer.recordPeer(reports, now);
        CHECK(peer.findQuarantined({Harmful}, isTester, now).has_value());
        CHECK(!peer.findQuarantined({Shared}, isTester, now).has_value());
        std::swap(reports[0], reports[1]);
    }
}

// Guards against the same when the entries come in reports of their own, from several instances.
TEST(PromptQuarantine, ASoundPartIsReleasedWhenTheOtherIsHeardOfLater)
{
    endEndpoints(3, {Shared, Harmful});
    PromptQuarantine peer;
    const std::vector<PromptPartReport> reports = quarantine.reports(now);
    const auto isHarmful = [](const PromptPartReport &report) { return report.part == Harmful; };
    std::vector<PromptPartReport> sound;
    std::vector<PromptPartReport> harmful;
    std::partition_copy(reports.begin(), reports.end(), std::back_inserter(harmful),
                        std::back_inserter(sound), isHarmful);
    peer.recordPeer(sound, now);
    const QuarantineChange change = peer.recordPeer(harmful, now);
    CHECK(change.added == PromptParts{Harmful});
    CHECK(change.removed == PromptParts{Shared});
    CHECK(!peer.findQuarantined({Shared}, isTester, now).has_value());
}

// Guards against instances that decide differently though they know the same. Prints its seed.
TEST(PromptQuarantine, InstancesThatKnowTheSameDecideAlike)
{
    constexpr std::uint64_t Seed = 20261205;
    std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
    std::mt19937_64 random(Seed);
    int quarantines = 0;
    for (int index = 0; index < RandomCases; ++index) {
        std::vector<PromptPartReport> entries = randomReports(random);
        const std::set<PromptPart> expected = beliefAfter(entries, now, random);
        quarantines += expected.empty() ? 0 : 1;
        for (int order = 0; order < OrdersPerCase; ++order) {
            std::shuffle(entries.begin(), entries.end(), random);
            if (beliefAfter(entries, now, random) != expected)
                FAIL(("case " + std::to_string(index)).c_str());
        }
    }
    std::printf("%d of %d cases with a quarantine\n", quarantines, RandomCases);
    CHECK(quarantines > RandomCases / 10);
}

// Guards against a sound part that is held back for ends that happened before an answer, when the
// answer is known first: to the instance itself, or from a peer.
TEST(PromptQuarantine, AnAnswerCountsThoughTheEndsAreHeardOfLater)
{
    endEndpoints(3, {Shared});
    const std::vector<PromptPartReport> ends = quarantine.reports(now);
    now += milliseconds{100};
    PromptQuarantine peer;
    peer.recordAnswer({Shared}, now);
    CHECK(peer.recordPeer(ends, now - milliseconds{100}).isEmpty());
    PromptQuarantine third;
    third.recordPeer(ends, now - milliseconds{100});
    exchange(peer, third);
    exchange(peer, quarantine);
    for (PromptQuarantine *each : {&peer, &third, &quarantine})
        CHECK(!each->findQuarantined({Shared}, isTester, now).has_value());
}

// Guards against a first part that hides behind a sound one, which stood behind it in the first
// requests, and against the sound one that stays rejected for it.
TEST(PromptQuarantine, ASoundPartIsReleasedOnceTheFirstPartExplainsItsEnds)
{
    constexpr PromptPart Sound = 7;
    endEndpoints(3, {Harmful, Sound});
    CHECK(isRejected({Sound}));
    for (PromptPart part = 10; part < 13; ++part)
        endEndpoints(1, {Harmful, part});
    CHECK(isRejected({Harmful}));
    CHECK(!isRejected({Sound}));
}

// Guards against a report without room for all suspects that leaves out the part that is to blame.
TEST(PromptQuarantine, ReportsNameTheQuarantinedPartsFirst)
{
    endEndpoints(3, {Shared, Harmful});
    for (PromptPart part = 100; part < 140; part += 2) {
        now += milliseconds{10};
        quarantine.recordEnd({part, part + 1}, {nextEndpoint++, now});
    }
    const std::vector<PromptPartReport> reports = quarantine.reports(now);
    CHECK_EQUAL(Harmful, reports.front().part);
    CHECK_EQUAL(139U, reports[1].part);
    CHECK_EQUAL(138U, reports[2].part);
}
