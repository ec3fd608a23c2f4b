#pragma once

#include "fleet/endpointanswer.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// What one instance has seen of the pace of an endpoint's process.
struct PaceSamples
{
    /// The process, by EndpointSpeeds::keyOf().
    std::uint64_t endpoint = 0;
    std::uint32_t count = 0;
    /// The mean of the logarithms of the time an answer took over the mean time of all answers on
    /// its route.
    double meanLogRatio = 0;
};

/// Learns how fast the endpoints of a service are in relation to each other, from the answers that
/// this instance and its peers have received. It is known for a process and not for an address, so
/// that it ends with the process.
///
/// Not thread safe.
class EndpointSpeeds
{
public:
    static std::uint64_t keyOf(const FleetEndpoint &endpoint);

    /// Takes a successful answer into account; failures say nothing about the pace.
    void record(const EndpointAnswer &answer);

    /// What has changed here since the version, most recent first and count entries at most, and
    /// the present version.
    std::vector<PaceSamples> changedSince(std::uint64_t version, std::size_t count) const;
    std::uint64_t version() const { return m_version; }

    /// Replaces what a peer has seen of these endpoints.
    void setPeer(const std::string &peer, const std::vector<PaceSamples> &samples);
    /// The process has ended.
    void forget(std::uint64_t endpoint);

    /// The speed in relation to the mean of the service; 1 while too little is known, and for
    /// differences that are within the noise.
    double speed(std::uint64_t endpoint) const;

private:
    struct Pace
    {
        double count = 0;
        double meanLogRatio = 0;
        std::uint64_t version = 0;
    };
    /// All samples of an endpoint, of all instances.
    struct Sum
    {
        std::map<std::string, PaceSamples> byPeer;
        double count = 0;
        double weighted = 0;
    };

    void add(Sum &sum, double count, double meanLogRatio);

    /// The mean time for each event of the answers on a route.
    std::map<std::uint64_t, std::chrono::duration<double>> m_routeMeans;
    std::map<std::uint64_t, Pace> m_own;
    std::map<std::uint64_t, Sum> m_peers;
    std::uint64_t m_version = 0;
};

} // namespace pistachiofall
