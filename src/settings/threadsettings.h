#pragma once

#include <cstddef>

namespace pistachiofall {

/// Section [threads].
struct ThreadSettings
{
    std::size_t count = 4;
};

} // namespace pistachiofall
