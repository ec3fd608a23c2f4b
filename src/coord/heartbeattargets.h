#pragma once

#include <random>
#include <string>
#include <vector>

namespace pistachiofall {

/// With at most this many peers, each round of heartbeats goes to all of them.
constexpr std::size_t MaxFullMeshPeers = 15;
/// With more peers, each round goes to this many random ones: gossip reaches 410 instances in about
/// five rounds, and the traffic of an instance does not grow with the fleet.
constexpr std::size_t RandomTargets = 3;

/// Returns the peers that get this round's heartbeat.
std::vector<std::string> heartbeatTargets(std::vector<std::string> peers, std::mt19937_64 &random);

} // namespace pistachiofall
