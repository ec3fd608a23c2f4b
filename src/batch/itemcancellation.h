#pragma once

#include "batch/startgate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace pistachiofall {

/// How a coordinator stops an item that it has handed out. Safe to use from several threads.
class ItemCancellation
{
public:
    ItemCancellation(std::shared_ptr<const StartGate> gate, std::uint32_t shard);

    /// Whether the item may be sent now. To be asked directly before the item is sent, also after a
    /// wait for a slot; when it is false the outcome is ItemNotRun. The answer is false when the
    /// job was cancelled, when the shard has moved, and when neither is known for sure.
    bool mayStart() const;

    bool isCancelled() const;

    /// Calls the callback once the item is cancelled, at once if it is already. The callback runs
    /// on any thread and must not block. A later call replaces the callback.
    void onCancelled(std::function<void()> callback);

    /// Called by the coordinator.
    void cancel();

private:
    std::shared_ptr<const StartGate> m_gate;
    std::uint32_t m_shard;
    mutable std::mutex m_mutex;
    std::function<void()> m_callback;
    bool m_isCancelled = false;
};

} // namespace pistachiofall
