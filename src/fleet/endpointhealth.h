#pragma once

#include <chrono>

namespace pistachiofall {

/// The health of an endpoint, judged by its responses to this instance. A failing endpoint receives
/// no requests for a backoff time that doubles with each consecutive failure; after that, one
/// request at a time probes it.
class EndpointHealth
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void recordFailure(TimePoint now);
    void recordSuccess();

    bool isSuspect() const { return m_consecutiveFailures > 0; }
    /// Returns whether a request may be sent, given the number of this instance's requests in
    /// flight at the endpoint.
    bool isUsable(TimePoint now, int inFlight) const;
    /// Returns when the next request may probe a suspect endpoint.
    TimePoint backoffUntil() const { return m_backoffUntil; }

private:
    int m_consecutiveFailures = 0;
    TimePoint m_backoffUntil{};
};

} // namespace pistachiofall
