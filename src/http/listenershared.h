#pragma once

#include "http/listenermetrics.h"
#include "http/listenersettings.h"

#include <atomic>

namespace pistachiofall::detail {

/// What all connections of a listener share.
struct ListenerShared
{
    ListenerSettings settings;
    ListenerMetrics metrics;
    /// Whether each answer ends its connection, because the listener is about to stop.
    std::atomic<bool> closesAfterAnswers{false};
    /// Whether the listener was stopped. Connections that become idle then wait for one more
    /// request only for the grace time.
    std::atomic<bool> isStopping{false};
};

} // namespace pistachiofall::detail
