#pragma once

#include <functional>
#include <utility>

namespace pistachiofall {

/// Whether the caller of one request has disconnected, and the function that then stops the work
/// for it. Not thread safe.
class DisconnectSignal
{
public:
    bool hasDisconnected() const { return m_hasDisconnected; }

    /// Replaces the function; null removes it. Calls it at once if the caller has disconnected.
    void onDisconnect(std::function<void()> stop)
    {
        m_stop = std::move(stop);
        if (m_hasDisconnected && m_stop)
            m_stop();
    }

    void setDisconnected()
    {
        m_hasDisconnected = true;
        if (m_stop)
            m_stop();
    }

private:
    bool m_hasDisconnected = false;
    std::function<void()> m_stop;
};

} // namespace pistachiofall
