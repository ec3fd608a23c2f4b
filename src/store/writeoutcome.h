#pragma once

#include "base/error.h"

namespace pistachiofall {

/// Whether the store may have applied a write that failed with the error, or may still apply it.
/// False for an answer that refuses the write, and for a write that was not sent.
bool mayBeApplied(const Error &error);

/// The outcome of a write that is attempted several times. One attempt with an unknown outcome
/// makes that of the whole unknown, whatever later attempts say: a refusal is certain only of the
/// attempt that it answers.
class WriteOutcome
{
public:
    /// An attempt has failed with the error.
    void recordFailure(const Error &error);
    /// Whoever else made this write before may have been successful.
    void recordEarlierWriter() { m_isUnknown = true; }

    bool isUnknown() const { return m_isUnknown; }
    /// Unavailable guarantees that no attempt was applied or will be. OutcomeUnknown otherwise. The
    /// message is that of the last attempt.
    Error failure() const;

private:
    bool m_isUnknown = false;
    Error m_last{ErrorCode::Unavailable, "no attempt was made"};
};

} // namespace pistachiofall
