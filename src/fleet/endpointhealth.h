#pragma once

#include <chrono>

namespace pistachiofall {

/// What this instance has seen of an endpoint's answers. An endpoint that fails is avoided for a
/// time that doubles with each failure in a row; after it one request at a time tries it.
class EndpointHealth
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void noteFailure(TimePoint now);
    void noteSuccess();

    bool isSuspect() const { return m_failuresInRow > 0; }
    /// Whether a request may be sent, given how many of this instance are at the endpoint.
    bool isUsable(TimePoint now, int inFlight) const;
    /// When the next request may try a suspect endpoint.
    TimePoint avoidedUntil() const { return m_avoidedUntil; }

private:
    int m_failuresInRow = 0;
    TimePoint m_avoidedUntil{};
};

} // namespace pistachiofall
