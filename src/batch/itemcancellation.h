#pragma once

#include "batch/startgate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace pistachiofall {

/// Lets a coordinator stop an item after handing it out to be run. Thread-safe.
class ItemCancellation
{
public:
    ItemCancellation(std::shared_ptr<const StartGate> gate, std::uint32_t shard);

    /// Returns whether the item may be sent now. Has to be checked directly before the item is
    /// sent, also after waiting for a slot; if it is false, the outcome is ItemNotRun. Returns
    /// false if the job was cancelled, if this instance no longer holds the shard, and if either
    /// can not be ruled out.
    bool mayStart() const;

    bool isCancelled() const;

    /// Sets the callback that is called when the item is cancelled, immediately if it already was.
    /// It may run on any thread and must not block. A later call replaces the callback.
    void onCancelled(std::function<void()> callback);

    /// Cancels the item. Called by the coordinator; only the first call has an effect.
    void cancel();

private:
    std::shared_ptr<const StartGate> m_gate;
    std::uint32_t m_shard;
    mutable std::mutex m_mutex;
    std::function<void()> m_callback;
    bool m_isCancelled = false;
};

} // namespace pistachiofall
