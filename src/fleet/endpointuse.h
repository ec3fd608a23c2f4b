#pragma once

namespace pistachiofall {

/// How many requests run, or wait, at an endpoint.
struct EndpointUse
{
    int online = 0;
    int batch = 0;

    int total() const { return online + batch; }
};

} // namespace pistachiofall
