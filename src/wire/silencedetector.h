#pragma once

#include <chrono>
#include <optional>

namespace pistachiofall::detail {

/// Decides when a connection on which an answer is due is probed and given up. It counts from the
/// first message without any answer, not from the oldest waiting call, so that calls with a short
/// timeout can not hide a connection that has gone silent.
class SilenceDetector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Action {
        None,
        /// Send a probe. Returned once for each silence.
        Probe,
        Close,
    };

    SilenceDetector(std::chrono::milliseconds probeAfter, std::chrono::milliseconds closeAfter);

    /// A message that is answered was sent.
    void onSent(TimePoint now);

    /// Anything was received; isWaiting tells whether other answers are still due.
    void onReceived(TimePoint now, bool isWaiting);

    Action poll(TimePoint now);

    /// When poll() returns an action if nothing is received, empty when no answer is due.
    std::optional<TimePoint> nextAction() const;

private:
    std::chrono::milliseconds m_probeAfter;
    std::chrono::milliseconds m_closeAfter;
    std::optional<TimePoint> m_quietSince;
    std::optional<TimePoint> m_probedAt;
};

} // namespace pistachiofall::detail
