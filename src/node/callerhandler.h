#pragma once

#include "http/serverexchange.h"
#include "node/batchhandler.h"
#include "node/onlinehandler.h"

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Sends each request of a caller to the handler of its path.
class CallerHandler
{
public:
    CallerHandler(OnlineHandler &online, BatchHandler &batches);

    boost::asio::awaitable<void> handle(ServerExchange &exchange);

private:
    OnlineHandler &m_online;
    BatchHandler &m_batches;
};

} // namespace pistachiofall
