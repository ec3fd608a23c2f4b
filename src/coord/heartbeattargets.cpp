#include "coord/heartbeattargets.h"

#include <algorithm>
#include <iterator>

namespace pistachiofall {

std::vector<std::string> heartbeatTargets(std::vector<std::string> peers, std::mt19937_64 &random)
{
    if (peers.size() <= MaxFullMeshPeers)
        return peers;
    std::vector<std::string> chosen;
    std::sample(peers.begin(), peers.end(), std::back_inserter(chosen), RandomTargets, random);
    return chosen;
}

} // namespace pistachiofall
