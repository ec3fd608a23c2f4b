#include "serving/configfetcher.h"

#include "wire/body.h"
#include "wire/sleep.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PeerCallTimeout{500};

} // namespace

ConfigFetcher::ConfigFetcher(const asio::any_io_executor &executor, FleetPeers &peers,
                             ConfigHolder &config)
    : m_executor(executor)
    , m_peers(peers)
    , m_config(config)
{ }

void ConfigFetcher::noteVersion(const std::string &peer, std::uint64_t version)
{
    if (version > m_config.version() && !m_isFetching)
        asio::co_spawn(m_executor, fetch(peer, version), asio::detached);
}

asio::awaitable<void> ConfigFetcher::fetch(std::string peer, std::uint64_t version)
{
    const auto address = m_peers.addressOf(peer);
    if (!address)
        co_return;
    m_isFetching = true;
    // If the store is available, its watch delivers the change within this time.
    co_await sleepFor(PeerCallTimeout / 2);
    if (version > m_config.version()) {
        wire::ConfigFetchT fetch;
        fetch.knownVersion = m_config.version();
        wire::BodyUnion body;
        body.Set(fetch);
        const auto reply =
                co_await m_peers.client().call(*address, std::move(body), PeerCallTimeout);
        const auto *data = isOk(reply) ? valueOf(reply).AsConfigData() : nullptr;
        if (data != nullptr && !data->payload.empty())
            m_config.applyTextIfNewer(std::string(data->payload.begin(), data->payload.end()),
                                      peer);
    }
    m_isFetching = false;
}

} // namespace pistachiofall
