#pragma once

#include <string_view>

namespace pistachiofall {

enum class JobState {
    Open,
    Cancelled,
    Done,
    /// The retention period is over and the objects of the job are being removed. Callers get
    /// NotFound.
    Expired,
};

/// Returns "open", "cancelled", "done" or "expired".
std::string_view toString(JobState state);

} // namespace pistachiofall
