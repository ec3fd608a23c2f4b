#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace pistachiofall {

/// Identifies one process of an instance. The incarnation differs for each start of the process.
struct HolderId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    bool operator==(const HolderId &) const = default;
    bool operator<(const HolderId &other) const
    {
        return std::tie(instance, incarnation) < std::tie(other.instance, other.incarnation);
    }
};

} // namespace pistachiofall
