#pragma once

#include <functional>
#include <utility>

namespace pistachiofall {

/// Whether the caller of one request is still there, and what to stop when it has gone. It lives on
/// one thread.
class CallerWatch
{
public:
    bool isGone() const { return m_isGone; }

    /// Replaces what runs when the caller goes; runs it at once when it has gone.
    void onGone(std::function<void()> stop)
    {
        m_stop = std::move(stop);
        if (m_isGone && m_stop)
            m_stop();
    }

    void noteGone()
    {
        m_isGone = true;
        if (m_stop)
            m_stop();
    }

private:
    bool m_isGone = false;
    std::function<void()> m_stop;
};

} // namespace pistachiofall
