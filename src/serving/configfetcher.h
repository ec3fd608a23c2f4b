#pragma once

#include "serving/configholder.h"
#include "serving/fleetpeers.h"

#include <cstdint>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Fetches the configuration from a peer that has a newer one, for an instance that does not get it
/// from the store in time. One fetch runs at a time. Not thread safe.
class ConfigFetcher
{
public:
    ConfigFetcher(const boost::asio::any_io_executor &executor, FleetPeers &peers,
                  ConfigHolder &config);

    /// A peer has reported the version of its configuration.
    void noteVersion(const std::string &peer, std::uint64_t version);

private:
    boost::asio::awaitable<void> fetch(std::string peer, std::uint64_t version);

    boost::asio::any_io_executor m_executor;
    FleetPeers &m_peers;
    ConfigHolder &m_config;
    bool m_isFetching = false;
};

} // namespace pistachiofall
