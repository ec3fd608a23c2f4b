#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pistachiofall::standins {

/// One version of a ConfigMap in the stand-in of the object API.
struct PlatformObject
{
    std::string nameSpace;
    std::string name;
    std::uint64_t revision = 0;
    std::map<std::string, std::string> labels;
    /// The bytes of all values in their base64 form.
    std::size_t size = 0;
    /// The whole object as the API sends it.
    std::string json;
};

} // namespace pistachiofall::standins
