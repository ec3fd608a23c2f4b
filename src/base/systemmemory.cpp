#include "base/systemmemory.h"

#include <unistd.h>

namespace pistachiofall {

std::size_t systemMemoryBytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages <= 0 || pageBytes <= 0
            ? 0
            : static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes);
}

} // namespace pistachiofall
