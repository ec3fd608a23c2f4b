#pragma once

#include "serving/eventprogress.h"
#include "serving/eventsplitter.h"
#include "serving/ownedjob.h"

#include <chrono>
#include <string_view>

namespace pistachiofall {

/// Adds the events of one run of a batch item to its progress, from where it can be resumed at any
/// endpoint. Decides when the run cannot go on: events malformed, too large, out of order or
/// without an id, or none completed for too long. Not thread safe.
class ItemOutput
{
public:
    enum class State {
        GoesOn,
        Complete,
        Invalid,
        /// The output of all runs together is larger than an item's may be, or than there is memory
        /// for. The item can not go on from here.
        TooLarge,
    };

    /// The largest output of an item in bytes: twice the size of an object of the store, which
    /// could not hold a longer one.
    static constexpr std::size_t MaxBytes = std::size_t{2} << 20U;

    /// The first event must be complete within the time after the begin, each other one within the
    /// gap.
    ItemOutput(ItemProgress &progress, SteadyTime begin, std::chrono::milliseconds firstEvent,
               std::chrono::milliseconds gap);

    /// Takes the next piece of the answer; an empty one is its end.
    State take(std::string_view piece, SteadyTime now);

    /// The number of events with data in this run.
    int eventCount() const { return m_eventCount; }

private:
    void takeEvent(const StreamEvent &event, SteadyTime now);

    ItemProgress &m_progress;
    EventSplitter m_splitter;
    EventProgress m_eventProgress;
    bool m_isInOrder = true;
    int m_eventCount = 0;
};

} // namespace pistachiofall
