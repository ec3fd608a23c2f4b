#pragma once

#include "http/endpointcall.h"

#include <memory>
#include <mutex>
#include <optional>

namespace pistachiofall {

/// Why a request in flight was stopped.
enum class CancelReason {
    CallerGone,
    /// The key was withdrawn, or this instance can no longer check it.
    KeyInvalid,
    /// The endpoint's owner took the slot back.
    SlotRevoked,
    /// The batch job was cancelled, or its shard has moved.
    JobStopped,
};

/// Stops one request from any thread: the call to an endpoint that it has open, and those that it
/// would open later.
class RequestCancellation
{
public:
    /// Only the first reason counts.
    void cancel(CancelReason reason);

    /// The call that cancel() stops; null for none. False when the request is stopped already.
    bool setCall(std::shared_ptr<EndpointCall> call);

    std::optional<CancelReason> reason() const;

private:
    mutable std::mutex m_mutex;
    std::optional<CancelReason> m_reason;
    std::shared_ptr<EndpointCall> m_call;
};

} // namespace pistachiofall
