#pragma once

#include <cstddef>

namespace pistachiofall {

/// The memory of the machine in bytes, as the system reports it.
std::size_t systemMemoryBytes();

} // namespace pistachiofall
