#pragma once

#include "common/proxyfault.h"

#include "metrics/counter.h"
#include "metrics/gauge.h"

#include <mutex>

namespace pistachiofall::standins {

/// What the connections of one route share. Safe to use from several threads.
class RouteState
{
public:
    ProxyFault fault() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_fault;
    }

    void setFault(const ProxyFault &fault)
    {
        const std::scoped_lock lock(m_mutex);
        m_fault = fault;
    }

    Counter accepted;
    Counter refused;
    Gauge open;
    Counter bytesToTarget;
    Counter bytesToClient;
    /// Bytes that a silent connection received and did not forward.
    Counter bytesDiscarded;

private:
    mutable std::mutex m_mutex;
    ProxyFault m_fault;
};

} // namespace pistachiofall::standins
