#include "http/serverexchange.h"

#include "http/exchangestate.h"

#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;

ServerExchange::ServerExchange(std::shared_ptr<detail::ExchangeState> state)
    : m_state(std::move(state))
{ }

ServerExchange::~ServerExchange() = default;

std::string_view ServerExchange::method() const
{
    return m_state->head().method;
}

std::string_view ServerExchange::path() const
{
    return m_state->head().path;
}

std::string_view ServerExchange::query() const
{
    return m_state->head().query;
}

const HttpHeaders &ServerExchange::headers() const
{
    return m_state->head().headers;
}

const std::string &ServerExchange::peerAddress() const
{
    return m_state->peerAddress();
}

asio::awaitable<Result<std::string>> ServerExchange::readBody(std::size_t maxBytes)
{
    return m_state->readBody(maxBytes);
}

asio::awaitable<Result<std::string>> ServerExchange::readBodySome()
{
    return m_state->readBodySome();
}

asio::awaitable<bool> ServerExchange::respond(unsigned status, HttpHeaders headers,
                                              std::string body)
{
    return m_state->respond(status, std::move(headers), std::move(body));
}

asio::awaitable<bool> ServerExchange::respond(ErrorAnswer answer)
{
    return m_state->respond(answer.status, std::move(answer.headers), std::move(answer.body));
}

bool ServerExchange::canStream() const
{
    return m_state->head().isHttp11;
}

asio::awaitable<bool> ServerExchange::startStream(unsigned status, HttpHeaders headers)
{
    return m_state->startStream(status, std::move(headers));
}

asio::awaitable<bool> ServerExchange::writeChunk(std::string data)
{
    return m_state->writeChunk(std::move(data));
}

asio::awaitable<bool> ServerExchange::finishStream()
{
    return m_state->finishStream();
}

void ServerExchange::abort()
{
    m_state->abort();
}

void ServerExchange::onCallerGone(std::function<void()> callback)
{
    m_state->onCallerGone(std::move(callback));
}

bool ServerExchange::isCallerGone() const
{
    return m_state->isCallerGone();
}

} // namespace pistachiofall
