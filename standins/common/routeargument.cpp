#include "common/routeargument.h"

namespace pistachiofall::standins {

Result<RouteArgument> RouteArgument::parse(const std::string &text)
{
    const auto equals = text.find('=');
    const auto comma = text.find(',', equals == std::string::npos ? 0 : equals);
    if (equals == std::string::npos || equals == 0 || comma == std::string::npos)
        return Error{ErrorCode::InvalidArgument,
                     "route '" + text + "' is not NAME=LISTEN_IP:PORT,TARGET_IP:PORT"};
    return RouteArgument{text.substr(0, equals), text.substr(equals + 1, comma - equals - 1),
                         text.substr(comma + 1)};
}

} // namespace pistachiofall::standins
