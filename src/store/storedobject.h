#pragma once

#include <map>
#include <string>

namespace pistachiofall {

/// One object of the platform's object API.
struct StoredObject
{
    std::string name;
    /// Opaque; only the store compares it. Empty on an object that is to be created.
    std::string version;
    std::map<std::string, std::string> labels;
    /// At most 1,000,000 bytes after base64 (750,000 bytes here).
    std::string data;
};

} // namespace pistachiofall
