#include "coord/heartbeattargets.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(HeartbeatTargets){};

// Guards against heartbeat traffic per instance that grows with the fleet.
TEST(HeartbeatTargets, SmallFleetsAllLargeFleetsThreeDistinct)
{
    std::mt19937_64 random(7);
    std::vector<std::string> peers;
    for (int i = 0; i < 15; ++i)
        peers.push_back("i-" + std::to_string(i));
    CHECK_EQUAL(15U, heartbeatTargets(peers, random).size());
    peers.push_back("i-15");
    const auto chosen = heartbeatTargets(peers, random);
    CHECK_EQUAL(3U, std::set<std::string>(chosen.begin(), chosen.end()).size());
}
