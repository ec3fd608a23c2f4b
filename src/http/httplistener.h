#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "http/listenersettings.h"
#include "http/serverexchange.h"
#include "metrics/metricsregistry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Answers one request. It runs on the strand of the request's connection. An exception that leaves
/// it counts as a missing answer.
using RequestHandler = std::function<boost::asio::awaitable<void>(ServerExchange &)>;

/// Accepts HTTP/1.1 connections and runs the handler for each request, with one coroutine for a
/// connection. The handler, and what it refers to, must live until waitStopped() has returned true
/// or the executor has ended.
class HttpListener
{
public:
    /// Listens on the address; port 0 picks a free one. Unavailable when the address can not be
    /// bound. The registry must outlive the executor.
    static Result<std::shared_ptr<HttpListener>>
    create(const boost::asio::any_io_executor &executor, const SocketAddress &address,
           const ListenerSettings &settings, MetricsRegistry &metrics, RequestHandler handler);

    /// Stops, and resets the connections that are still open.
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// The port that it listens on.
    std::uint16_t port() const;

    /// From now on each answer ends its connection, while new connections are still accepted, so
    /// that callers move to other instances before this one stops.
    void closeAfterAnswers();

    /// Accepts no more connections. Requests in flight go on, and each connection closes after its
    /// answer; an idle one may send one more request within the grace time of the settings.
    void stop();

    /// Waits, after stop(), until all connections have ended. False when the timeout comes first.
    boost::asio::awaitable<bool> waitStopped(std::chrono::milliseconds timeout);

private:
    struct Data;
    explicit HttpListener(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace pistachiofall
