#pragma once

#include "base/result.h"

#include <string>

namespace pistachiofall::standins {

/// A route as the proxy's command line names it.
struct RouteArgument
{
    /// Parses "NAME=LISTEN_IP:PORT,TARGET_IP:PORT"; the addresses are checked later.
    static Result<RouteArgument> parse(const std::string &text);

    std::string name;
    std::string listenAddress;
    std::string targetAddress;
};

} // namespace pistachiofall::standins
