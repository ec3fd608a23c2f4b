#pragma once

#include "base/result.h"
#include "http/erroranswer.h"
#include "http/httpheaders.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

namespace detail {
class ExchangeState;
}

/// One request of a caller and the way to answer it. It lives until the handler's coroutine ends
/// and is used only on that coroutine's executor. A handler that ends without an answer is answered
/// for with status 500; one that ends within a stream resets the connection.
class ServerExchange
{
public:
    explicit ServerExchange(std::shared_ptr<detail::ExchangeState> state);
    ~ServerExchange();
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    std::string_view method() const;
    /// The path without the query, not decoded.
    std::string_view path() const;
    /// What follows the question mark, not decoded.
    std::string_view query() const;
    const HttpHeaders &headers() const;
    /// IP:PORT of the other side of the connection.
    const std::string &peerAddress() const;

    /// Reads the whole body. TooLarge when it is longer than the maximum; otherwise as
    /// readBodySome().
    boost::asio::awaitable<Result<std::string>> readBody(std::size_t maxBytes);

    /// Reads at most 16 KB of the body; an empty piece is its end. TimedOut when the caller sends
    /// too slowly, Cancelled when it has gone, InvalidArgument or TooLarge when it breaks the
    /// protocol. No more of the body can be read after an error; the request can still be answered.
    boost::asio::awaitable<Result<std::string>> readBodySome();

    /// Sends a whole answer. False when the caller has gone or did not take it in time.
    boost::asio::awaitable<bool> respond(unsigned status, HttpHeaders headers, std::string body);
    boost::asio::awaitable<bool> respond(ErrorAnswer answer);

    /// Whether the caller's protocol version has streams. In HTTP/1.0 the end of a stream is the
    /// end of the connection, so a cut answer would look complete.
    bool canStream() const;

    /// Starts an answer of unknown length; writeChunk() and finishStream() follow. Each returns
    /// false when the caller has gone or did not take the bytes in time, and resets the connection.
    boost::asio::awaitable<bool> startStream(unsigned status, HttpHeaders headers);
    /// Waits until the bytes are handed to the transport. An empty chunk writes nothing.
    boost::asio::awaitable<bool> writeChunk(std::string data);
    boost::asio::awaitable<bool> finishStream();

    /// Resets the connection, so that the caller can not take an unfinished answer for a complete
    /// one. Does nothing after a complete answer.
    void abort();

    /// Sets what to call, on the handler's executor and at most once, when the caller closes the
    /// connection before it has its answer. Watching starts when the body has been read and ends
    /// when the caller sends another request ahead of time, because the end of the connection can
    /// not be seen behind it.
    void onCallerGone(std::function<void()> callback);
    /// Whether the caller is known to have gone.
    bool isCallerGone() const;

private:
    std::shared_ptr<detail::ExchangeState> m_state;
};

} // namespace pistachiofall
