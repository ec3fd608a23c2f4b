#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace pistachiofall::standins {

/// How the stand-in of the platform treats calls.
enum class PlatformMode {
    Up,
    /// Connections are reset without an answer.
    Down,
    /// Calls are accepted, have no effect and are never answered; open watches go silent for good.
    Hang,
};

/// The faults that the control API sets. Safe to use from several threads.
class PlatformFaults
{
public:
    PlatformMode mode() const { return m_mode.load(); }
    void setMode(PlatformMode mode) { m_mode.store(mode); }

    /// How long each call waits before it is carried out and answered.
    std::chrono::milliseconds slowness() const { return m_slowness.load(); }
    void setSlowness(std::chrono::milliseconds slowness) { m_slowness.store(slowness); }

    /// The next writes that take effect and get no answer.
    void setAnswersToLose(std::uint64_t count) { m_answersToLose.store(count); }

    /// Whether the answer of a write that took effect is to be lost; counts it.
    bool takeLostAnswer();

private:
    std::atomic<PlatformMode> m_mode{PlatformMode::Up};
    std::atomic<std::chrono::milliseconds> m_slowness{std::chrono::milliseconds{0}};
    std::atomic<std::uint64_t> m_answersToLose{0};
};

} // namespace pistachiofall::standins
