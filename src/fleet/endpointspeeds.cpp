#include "fleet/endpointspeeds.h"

#include "base/stablehash.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace pistachiofall {

namespace {

// The weight of an answer in the mean of its route, which covers answers of all endpoints.
constexpr double RouteMeanWeight = 0.02;
// The newest answers count for more, since an endpoint may become slower or faster.
constexpr double MaxOwnCount = 40;
// One answer that waited at the endpoint must not decide.
constexpr double MaxLogRatio = 1.2;
constexpr double MinSamples = 6;
// Differences below 15% are within the noise of the load at the endpoints.
constexpr double MinLogSpeed = 0.14;
constexpr double MaxLogSpeed = 1;

} // namespace

std::uint64_t EndpointSpeeds::keyOf(const FleetEndpoint &endpoint)
{
    return stableHash(endpoint.id + '/' + std::to_string(endpoint.startedAt));
}

void EndpointSpeeds::record(const EndpointAnswer &answer)
{
    const double seconds = answer.timePerEvent.count();
    if (answer.isFailure || seconds <= 0)
        return;
    auto &mean = m_routeMeans.try_emplace(answer.route, answer.timePerEvent).first->second;
    mean += (answer.timePerEvent - mean) * RouteMeanWeight;
    const double ratio = std::clamp(std::log(seconds / mean.count()), -MaxLogRatio, MaxLogRatio);
    Pace &pace = m_own[keyOf(answer.endpoint)];
    pace.count = std::min(pace.count + 1, MaxOwnCount);
    pace.meanLogRatio += (ratio - pace.meanLogRatio) / pace.count;
    pace.version = ++m_version;
}

std::vector<PaceSamples> EndpointSpeeds::changedSince(std::uint64_t version,
                                                      std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, PaceSamples>> changed;
    for (const auto &[endpoint, pace] : m_own) {
        if (pace.version > version)
            changed.emplace_back(pace.version,
                                 PaceSamples{endpoint, static_cast<std::uint32_t>(pace.count),
                                             pace.meanLogRatio});
    }
    std::sort(changed.begin(), changed.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<PaceSamples> samples;
    for (const auto &[changedAt, each] : changed) {
        if (samples.size() == count)
            break;
        samples.push_back(each);
    }
    return samples;
}

void EndpointSpeeds::add(Sum &sum, double count, double meanLogRatio)
{
    sum.count += count;
    sum.weighted += count * meanLogRatio;
}

void EndpointSpeeds::setPeer(const std::string &peer, const std::vector<PaceSamples> &samples)
{
    for (const PaceSamples &each : samples) {
        if (!std::isfinite(each.meanLogRatio))
            continue;
        Sum &sum = m_peers[each.endpoint];
        PaceSamples &known = sum.byPeer[peer];
        add(sum, -static_cast<double>(known.count), known.meanLogRatio);
        known = each;
        known.count = std::min(each.count, static_cast<std::uint32_t>(MaxOwnCount));
        known.meanLogRatio = std::clamp(each.meanLogRatio, -MaxLogRatio, MaxLogRatio);
        add(sum, known.count, known.meanLogRatio);
    }
}

void EndpointSpeeds::forget(std::uint64_t endpoint)
{
    m_own.erase(endpoint);
    m_peers.erase(endpoint);
}

double EndpointSpeeds::speed(std::uint64_t endpoint) const
{
    double count = 0;
    double weighted = 0;
    if (const auto own = m_own.find(endpoint); own != m_own.end()) {
        count += own->second.count;
        weighted += own->second.count * own->second.meanLogRatio;
    }
    if (const auto peers = m_peers.find(endpoint); peers != m_peers.end()) {
        count += peers->second.count;
        weighted += peers->second.weighted;
    }
    if (count < MinSamples)
        return 1;
    const double logSpeed = std::clamp(-weighted / count, -MaxLogSpeed, MaxLogSpeed);
    return std::abs(logSpeed) < MinLogSpeed ? 1 : std::exp(logSpeed);
}

} // namespace pistachiofall
