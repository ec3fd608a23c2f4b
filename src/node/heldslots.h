#pragma once

#include "coord/slotrequest.h"
#include "node/slotlease.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiofall {

/// The slots that this instance holds. A new owner of an endpoint asks for them; from then on a
/// slot that an older owner granted and that is not in use yet can no longer be used. Thread safe.
class HeldSlots
{
public:
    /// Takes a grant under the epoch of its owner; false when a newer owner has already asked.
    bool add(const SlotLease &lease, std::uint64_t epoch);

    /// Marks the slot as in use; the callback stops the request when the slot is taken back. False
    /// when the slot has been invalidated: nothing may be sent.
    bool use(std::uint64_t slotId, std::function<void()> cancel);

    void remove(std::uint64_t slotId);

    /// Answers the survey of a new owner.
    std::map<std::string, std::vector<HeldSlot>> survey(const std::vector<std::string> &endpoints,
                                                        std::uint64_t epoch);

    /// Stops the requests that use the slots. A slot that is not in use yet can no longer be used,
    /// even when its grant arrives later than this: they come on different connections.
    void cancel(const std::vector<std::uint64_t> &slotIds);

    /// The slots by endpoint.
    std::map<std::string, std::vector<std::uint64_t>> slotIds() const;

private:
    struct Entry
    {
        SlotLease lease;
        std::uint64_t epoch = 0;
        bool isUsed = false;
        bool isCancelled = false;
        std::function<void()> cancel;
    };

    void cancelEarly(std::uint64_t slotId);

    /// Cancelled slots that are not held are remembered up to this number. Most of them have ended;
    /// the grants of the others are on their way and arrive within milliseconds.
    static constexpr std::size_t MaxEarlyCancels = 256;

    mutable std::mutex m_mutex;
    std::deque<std::uint64_t> m_earlyCancels;
    std::map<std::uint64_t, Entry> m_entries;
    std::map<std::string, std::uint64_t> m_surveyEpochs;
};

} // namespace pistachiofall
