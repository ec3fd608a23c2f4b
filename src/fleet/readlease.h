#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// Decides when the owner of a job may answer reads of it from memory, so that no read shows less
/// than an earlier one, whichever instances answered them.
///
/// Another instance may take the job over at any time by a conditional write. Two rules keep the
/// old owner from answering with less than the new one has shown: the old owner answers for a fixed
/// time after it sent the last call by which the store confirmed its ownership, and the new owner
/// stores no result before that time has passed since its takeover. While a write of the owner is
/// without an answer, the store may already show its results to others, so that the owner does not
/// answer from memory either.
///
/// Times must include those in which the machine was suspended. Not thread safe.
class ReadLease
{
public:
    static constexpr std::chrono::milliseconds Duration{2000};

    /// The store has confirmed the ownership in its answer to a call sent at this time.
    void recordConfirmation(SteadyTime sent);
    /// The store has acknowledged the takeover of the job from another owner.
    void recordTakeover(SteadyTime acknowledged);

    /// A write of results is sent.
    void recordWriteSent();
    /// The store has applied the write, or certainly has not and will not.
    void recordWriteSettled();
    /// The write has no answer, so the store may apply it at any time until the job changes.
    void recordWriteUncertain();
    /// The stored job has changed since the last write, so that no earlier write can be applied.
    void recordChange();

    /// Whether reads may be answered with what the owner knows.
    bool mayAnswer(SteadyTime now) const;
    /// The time before which no result must be stored.
    SteadyTime resultsFrom() const { return m_resultsFrom; }

private:
    SteadyTime m_confirmed{};
    SteadyTime m_resultsFrom{};
    bool m_isWriteOpen = false;
    bool m_isWriteUncertain = false;
};

} // namespace pistachiofall
