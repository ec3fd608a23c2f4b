#pragma once

#include <optional>
#include <string>

namespace pistachiofall {

/// Section [data].
struct DataSettings
{
    /// The folder for bulk data; only set on the few instances that have a disk.
    std::optional<std::string> folder;
};

} // namespace pistachiofall
