#pragma once

namespace pistachiofall {

/// Whose work a connection carries. The two share no connection, so that a long batch answer never
/// delays an online request.
enum class TrafficClass {
    Online,
    Batch,
};

} // namespace pistachiofall
