#include "coord/endedinstances.h"

#include "base/manualclock.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

TEST_GROUP(EndedInstances)
{
    const SteadyTime start = ManualClock().now();
    const std::vector<std::string> both{"a", "b"};
    const std::vector<std::string> onlyA{"a"};
    EndedInstances ended;

    void read(std::uint64_t version, const std::vector<std::string> &names, SteadyTime now)
    {
        ended.recordSnapshot(version, names, now, now);
    }

    void readEachSecond(std::uint64_t version, const std::vector<std::string> &names, int from,
                        int until)
    {
        for (int second = from; second <= until; ++second)
            read(version, names, start + std::chrono::seconds{second});
    }

    bool isEnded(const char *name, SteadyTime now)
    {
        return ended.endedSince(name, now).has_value();
    }
};

TEST(EndedInstances, EndsAfterBeingListedAndThenAbsentForLongEnough)
{
    read(1, both, start);
    readEachSecond(2, onlyA, 10, 16);
    CHECK_FALSE(isEnded("b", start + 16s));
    readEachSecond(3, onlyA, 17, 18);
    CHECK(ended.endedSince("b", start + 20s) == start + 17s);
    CHECK_FALSE(isEnded("a", start + 18s));
}

// Guards against a takeover from a live instance after the list was unreadable for a while, when
// the other instances have not learned of the changes yet.
TEST(EndedInstances, TimeWithoutSnapshotsDoesNotCount)
{
    read(1, both, start);
    read(2, onlyA, start + 1s);
    CHECK_FALSE(isEnded("b", start + 60s));
    read(2, onlyA, start + 60s);
    readEachSecond(2, onlyA, 61, 66);
    CHECK_FALSE(isEnded("b", start + 66s));
    readEachSecond(2, onlyA, 67, 67);
    CHECK(isEnded("b", start + 67s));
    read(2, onlyA, start + 100s);
    CHECK_FALSE(isEnded("b", start + 100s));
}

// Guards against a stale snapshot from a lagging replica that removes or restores an instance.
TEST(EndedInstances, IgnoresSnapshotsWithLowerVersions)
{
    read(5, both, start);
    readEachSecond(4, onlyA, 1, 20);
    CHECK_FALSE(isEnded("b", start + 20s));
    read(6, onlyA, start + 21s);
    read(5, both, start + 22s);
    readEachSecond(7, onlyA, 23, 28);
    CHECK(isEnded("b", start + 28s));
}

// Guards against an instance that counts as ended although it flaps in the list or still answers.
TEST(EndedInstances, ReappearingOrAnsweringStartsAnew)
{
    read(1, both, start);
    readEachSecond(2, onlyA, 1, 4);
    read(3, both, start + 5s);
    readEachSecond(4, onlyA, 6, 10);
    ended.recordAnswer("b", start + 11s);
    readEachSecond(5, onlyA, 12, 17);
    CHECK_FALSE(isEnded("b", start + 17s));
    readEachSecond(6, onlyA, 18, 18);
    CHECK(isEnded("b", start + 18s));
    read(7, both, start + 19s);
    CHECK_FALSE(isEnded("b", start + 19s));
}

// Guards against shards without a holder after all instances were replaced at once, and against a
// takeover from an instance that started too recently to be listed.
TEST(EndedInstances, NeverListedNamesEndMuchLater)
{
    read(1, onlyA, start);
    CHECK_FALSE(isEnded("new", start));
    readEachSecond(2, onlyA, 1, 60);
    CHECK_FALSE(isEnded("new", start + 60s));
    readEachSecond(2, onlyA, 61, 61);
    CHECK(isEnded("new", start + 61s));
}

// Guards against a map of names that grows with each restart of the fleet.
TEST(EndedInstances, ForgetsNamesThatAreLongGone)
{
    read(1, both, start);
    readEachSecond(2, onlyA, 1, 600);
    CHECK(isEnded("b", start + 600s));
    readEachSecond(2, onlyA, 601, 602);
    CHECK_FALSE(isEnded("b", start + 602s));
    readEachSecond(2, onlyA, 603, 663);
    CHECK(isEnded("b", start + 663s));
}

namespace {

struct Delivery
{
    std::uint64_t version = 0;
    SteadyTime readAt;
    SteadyTime now;
};

// Returns reads about 2 s apart with some outages. The instance "b" is absent from version 2 on.
std::vector<Delivery> randomReadings(std::mt19937_64 &random, SteadyTime start)
{
    std::vector<Delivery> readings;
    SteadyTime time = start;
    for (int count = 0; count < 20; ++count) {
        readings.push_back({count < 3 ? 1U : 2U, time, time});
        time += std::chrono::milliseconds{random() % 5 == 0 ? random() % 9000 : 2000};
    }
    return readings;
}

// Returns the reads as received through peers: some are lost, and the others arrive late, in any
// order, and some of them twice. The reported time of a read has an error, as if it were computed
// from the age in a slow answer.
std::vector<Delivery> throughPeers(const std::vector<Delivery> &readings, std::mt19937_64 &random)
{
    std::vector<Delivery> deliveries;
    for (const Delivery &reading : readings) {
        for (std::uint64_t copies = random() % 3; copies > 0; --copies) {
            Delivery delivery = reading;
            delivery.readAt -= std::chrono::milliseconds{random() % 1500};
            delivery.now += std::chrono::milliseconds{random() % 4000};
            deliveries.push_back(delivery);
        }
    }
    std::ranges::sort(deliveries, {}, &Delivery::now);
    return deliveries;
}

} // namespace

// Guards against a takeover from a live holder because a snapshot arrived through a peer late,
// twice, out of order or after an outage.
TEST(EndedInstances, SnapshotsThroughPeersEndNothingEarlierThanOwnReads)
{
    int endedByPeers = 0;
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        std::mt19937_64 random(seed);
        const auto readings = randomReadings(random, start);
        EndedInstances own;
        std::vector<std::pair<SteadyTime, bool>> ownStates;
        for (const Delivery &read : readings) {
            own.recordSnapshot(read.version, read.version == 1 ? both : onlyA, read.now, read.now);
            ownStates.emplace_back(read.now, own.endedSince("b", read.now).has_value());
        }
        EndedInstances byPeers;
        for (const Delivery &delivery : throughPeers(readings, random)) {
            byPeers.recordSnapshot(delivery.version, delivery.version == 1 ? both : onlyA,
                                   delivery.readAt, delivery.now);
            if (!byPeers.endedSince("b", delivery.now))
                continue;
            ++endedByPeers;
            const bool wasEnded = std::ranges::any_of(ownStates, [&](const auto &state) {
                return state.second && state.first <= delivery.now;
            });
            if (!wasEnded)
                std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
            CHECK(wasEnded);
        }
    }
    CHECK(endedByPeers > 100);
}
