#pragma once

#include <chrono>
#include <cstddef>

namespace pistachiofall::detail {

/// The time that the other side has left to move the next minBytes. Only the time spent waiting for
/// it counts, so a slow handler of our own does not use it up.
class ProgressWindow
{
public:
    ProgressWindow(std::chrono::nanoseconds timeout, std::size_t minBytes)
        : m_timeout(timeout)
        , m_minBytes(minBytes)
        , m_left(timeout)
    { }

    /// The time left for an operation that begins now.
    std::chrono::nanoseconds left() const { return m_left; }

    /// Records an operation that moved the bytes and took the time.
    void note(std::size_t bytes, std::chrono::nanoseconds waited)
    {
        m_bytes += bytes;
        m_left -= waited;
        if (m_bytes >= m_minBytes) {
            m_bytes = 0;
            m_left = m_timeout;
        }
    }

private:
    std::chrono::nanoseconds m_timeout;
    std::size_t m_minBytes;
    std::chrono::nanoseconds m_left;
    std::size_t m_bytes = 0;
};

} // namespace pistachiofall::detail
