#include "node/callerhandler.h"

namespace pistachiofall {

CallerHandler::CallerHandler(OnlineHandler &online, BatchHandler &batches)
    : m_online(online)
    , m_batches(batches)
{ }

boost::asio::awaitable<void> CallerHandler::handle(ServerExchange &exchange)
{
    if (exchange.method() == "POST" && exchange.path() == "/v1/chat/completions")
        co_await m_online.handleChat(exchange);
    else if (exchange.path() == BatchHandler::Path
             || exchange.path().starts_with(std::string(BatchHandler::Path) + "/"))
        co_await m_batches.handle(exchange);
    else
        co_await m_online.handleRoute(exchange);
}

} // namespace pistachiofall
