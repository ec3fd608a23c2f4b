#pragma once

#include <chrono>
#include <string>

namespace pistachiofall {

/// How to reach the platform's object API.
struct StoreSettings
{
    /// HOST:PORT.
    std::string address;
    std::string nameSpace = "pistachiofall";
    /// For one call, connection included; a watch has its own timeout.
    std::chrono::milliseconds callTimeout{1000};
};

} // namespace pistachiofall
