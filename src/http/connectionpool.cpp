#include "http/connectionpool.h"

#include "base/stablehash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachiofall::detail {

ConnectionPool::ConnectionPool(const EndpointClientSettings &settings, Gauge &idleConnections)
    : m_settings(settings)
    , m_idleConnections(idleConnections)
{ }

ConnectionPool::Shard &ConnectionPool::shardOf(const SocketAddress &address)
{
    return m_shards[(stableHash(address.host()) + address.port()) % m_shards.size()];
}

bool ConnectionPool::isUsable(const Idle &idle) const
{
    return std::chrono::steady_clock::now() - idle.since <= m_settings.maxIdleTime
            && idle.stream->isQuiet();
}

void ConnectionPool::forget(const Idle &idle)
{
    --m_total;
    m_idleConnections.add(-1);
    if (idle.stream)
        idle.stream->close();
}

std::shared_ptr<HttpStream> ConnectionPool::take(const SocketAddress &address,
                                                 TrafficClass trafficClass)
{
    Shard &shard = shardOf(address);
    for (;;) {
        Idle idle;
        {
            const std::scoped_lock lock(shard.mutex);
            const auto found = shard.idle.find(Key{address, trafficClass});
            if (found == shard.idle.end() || found->second.empty())
                return nullptr;
            idle = std::move(found->second.back());
            found->second.pop_back();
        }
        if (!isUsable(idle)) {
            forget(idle);
            continue;
        }
        std::shared_ptr<HttpStream> stream = std::move(idle.stream);
        forget(idle);
        return stream;
    }
}

void ConnectionPool::put(const SocketAddress &address, TrafficClass trafficClass,
                         std::shared_ptr<HttpStream> stream)
{
    Idle idle{std::move(stream), std::chrono::steady_clock::now()};
    m_idleConnections.add(1);
    if (++m_total <= m_settings.maxIdleTotal) {
        Shard &shard = shardOf(address);
        const std::scoped_lock lock(shard.mutex);
        auto &connections = shard.idle[Key{address, trafficClass}];
        if (connections.size() < m_settings.maxIdlePerEndpoint) {
            connections.push_back(std::move(idle));
            return;
        }
    }
    forget(idle);
}

void ConnectionPool::sweep()
{
    for (Shard &shard : m_shards) {
        std::vector<Idle> unusable;
        {
            const std::scoped_lock lock(shard.mutex);
            for (auto &[key, connections] : shard.idle) {
                const auto firstUnusable =
                        std::stable_partition(connections.begin(), connections.end(),
                                              [this](const Idle &idle) { return isUsable(idle); });
                std::move(firstUnusable, connections.end(), std::back_inserter(unusable));
                connections.erase(firstUnusable, connections.end());
            }
            std::erase_if(shard.idle, [](const auto &entry) { return entry.second.empty(); });
        }
        for (const Idle &idle : unusable)
            forget(idle);
    }
}

} // namespace pistachiofall::detail
