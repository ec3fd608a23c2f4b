#pragma once

namespace pistachiofall {

/// The class of a request. Online requests have priority over batch requests.
enum class WorkClass {
    Online,
    Batch,
};

} // namespace pistachiofall
