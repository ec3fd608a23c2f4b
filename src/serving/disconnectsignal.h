#pragma once

#include <functional>
#include <utility>

namespace pistachiofall {

/// Whether the caller of one request is still there, and what to stop when it has gone. It lives on
/// one thread.
class DisconnectSignal
{
public:
    bool hasDisconnected() const { return m_hasDisconnected; }

    /// Replaces what runs when the caller goes; runs it at once when it has gone.
    void onDisconnect(std::function<void()> handler)
    {
        m_onDisconnect = std::move(handler);
        if (m_hasDisconnected && m_onDisconnect)
            m_onDisconnect();
    }

    void setDisconnected()
    {
        m_hasDisconnected = true;
        if (m_onDisconnect)
            m_onDisconnect();
    }

private:
    bool m_hasDisconnected = false;
    std::function<void()> m_onDisconnect;
};

} // namespace pistachiofall
