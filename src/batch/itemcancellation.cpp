#include "batch/itemcancellation.h"

#include <utility>

namespace pistachiofall {

ItemCancellation::ItemCancellation(std::shared_ptr<const StartGate> gate, std::uint32_t shard)
    : m_gate(std::move(gate))
    , m_shard(shard)
{ }

bool ItemCancellation::mayStart() const
{
    return !isCancelled() && m_gate->mayStart(m_shard);
}

bool ItemCancellation::isCancelled() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isCancelled;
}

void ItemCancellation::onCancelled(std::function<void()> callback)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isCancelled) {
            m_callback = std::move(callback);
            return;
        }
    }
    callback();
}

void ItemCancellation::cancel()
{
    std::function<void()> callback;
    {
        const std::scoped_lock lock(m_mutex);
        if (std::exchange(m_isCancelled, true))
            return;
        callback = std::move(m_callback);
    }
    if (callback)
        callback();
}

} // namespace pistachiofall
