#pragma once

namespace pistachiofall {

/// How a call to an endpoint ended, as far as it shows whether the endpoint is warm or cold.
enum class CallOutcome {
    Succeeded,
    Failed,
    ConnectFailed,
    TimedOut,
    Cancelled,
};

} // namespace pistachiofall
