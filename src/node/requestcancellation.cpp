#include "node/requestcancellation.h"

#include <utility>

namespace pistachiofall {

void RequestCancellation::cancel(CancelReason reason)
{
    std::shared_ptr<EndpointCall> call;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_reason)
            return;
        m_reason = reason;
        call = m_call;
    }
    if (call)
        call->cancel();
}

bool RequestCancellation::setCall(std::shared_ptr<EndpointCall> call)
{
    const std::scoped_lock lock(m_mutex);
    if (m_reason)
        return false;
    m_call = std::move(call);
    return true;
}

std::optional<CancelReason> RequestCancellation::reason() const
{
    const std::scoped_lock lock(m_mutex);
    return m_reason;
}

} // namespace pistachiofall
