#pragma once

#include "common/httpexchange.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::standins {

/// An endpoint that seals its answers and names the request in them, as those of the users'
/// platform do. A request with Last-Event-Id, or to a path with "/stream/", gets a stream of events
/// with ids; any other one gets its body back. GET /control/seen tells how often each request ran,
/// and POST /control/cut?events=N breaks the next stream after N events. It lives on one thread.
class SealedEngine
{
public:
    struct Settings
    {
        std::string id;
        int events = 30;
        std::chrono::milliseconds eventGap{10};
    };

    explicit SealedEngine(Settings settings);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    /// The data of an event, the same at each endpoint.
    static std::string eventData(const std::string &requestId, int event);

private:
    boost::asio::awaitable<void> stream(HttpExchange &exchange, std::string requestId);
    boost::asio::awaitable<bool> write(HttpExchange &exchange, std::string text);

    Settings m_settings;
    std::map<std::string, int> m_runs;
    int m_cutAfter = -1;
};

} // namespace pistachiofall::standins
