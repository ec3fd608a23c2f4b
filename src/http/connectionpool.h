#pragma once

#include "base/socketaddress.h"
#include "http/endpointclientsettings.h"
#include "http/httpstream.h"
#include "http/trafficclass.h"
#include "metrics/gauge.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>
#include <tuple>
#include <vector>

namespace pistachiofall::detail {

/// Idle connections to endpoints, apart by address and traffic class. Safe to use from several
/// threads.
class ConnectionPool
{
public:
    ConnectionPool(const EndpointClientSettings &settings, Gauge &idleConnections);

    /// The connection that was used last, or null. It was quiet a moment ago, but the endpoint may
    /// close it at any time.
    std::shared_ptr<HttpStream> take(const SocketAddress &address, TrafficClass trafficClass);

    /// Keeps a connection whose last answer was complete, or closes it when there are enough.
    void put(const SocketAddress &address, TrafficClass trafficClass,
             std::shared_ptr<HttpStream> stream);

    /// Closes connections that are too old or that the endpoint has closed.
    void sweep();

private:
    struct Key
    {
        SocketAddress address;
        TrafficClass trafficClass;

        bool operator<(const Key &other) const
        {
            return std::tuple(trafficClass, address.port(), std::string_view(address.host()))
                    < std::tuple(other.trafficClass, other.address.port(),
                                 std::string_view(other.address.host()));
        }
    };

    struct Idle
    {
        std::shared_ptr<HttpStream> stream;
        HttpStream::TimePoint since;
    };

    struct Shard
    {
        std::mutex mutex;
        std::map<Key, std::vector<Idle>> idle;
    };

    Shard &shardOf(const SocketAddress &address);
    bool isUsable(const Idle &idle) const;
    void forget(const Idle &idle);

    EndpointClientSettings m_settings;
    Gauge &m_idleConnections;
    std::atomic<std::size_t> m_total{0};
    std::array<Shard, 16> m_shards;
};

} // namespace pistachiofall::detail
