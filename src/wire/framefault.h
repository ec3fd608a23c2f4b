#pragma once

#include <string_view>

namespace pistachiofall {

/// Why bytes from a peer are not a frame. Each closes the connection, because the start of the next
/// frame is not known for sure.
enum class FrameFault {
    Oversized,
    Malformed,
    WrongVersion,
};

/// The name as metrics and errors show it, such as "wrong_version".
std::string_view toString(FrameFault fault);

} // namespace pistachiofall
