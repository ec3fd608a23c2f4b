#pragma once

namespace pistachiofall {

/// The number of requests that run or wait at an endpoint, by work class.
struct EndpointUsage
{
    int online = 0;
    int batch = 0;

    int total() const { return online + batch; }

    bool operator==(const EndpointUsage &other) const = default;

    EndpointUsage &operator+=(const EndpointUsage &other)
    {
        online += other.online;
        batch += other.batch;
        return *this;
    }
    EndpointUsage &operator-=(const EndpointUsage &other)
    {
        online -= other.online;
        batch -= other.batch;
        return *this;
    }
};

} // namespace pistachiofall
