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
/// with ids; any other one gets its body back. It lives on one thread.
///
/// GET /control/seen tells how often each request ran. GET /control/cut?events=N breaks the next
/// stream after N events. GET /control/mode?name=NAME&count=N sets how the next N requests are
/// answered:
/// - error: with 500 and a text;
/// - empty: with 200 and no body, also where a stream is due;
/// - refuse: with 503, as not run;
/// - refuse-again: as refuse, and the same bytes come once more before the answer to the next
///   request on the connection;
/// - silent: not at all, with the connection open until the caller closes;
/// - close: without a length or chunks, up to the end of the connection;
/// - lose-N: not at all; the connection is reset after N ms;
/// - trickle: with some events, and then with a byte now and then that completes none;
/// - cut-head-N: with the first N bytes of the head, then the end of the connection;
/// - endless-head, endless-interim, endless-events, endless-bytes: with header fields, interim
///   answers, events without ids or letters, until the caller closes;
/// - endless-length, endless-chunks, endless-close, endless-error: with a head and letters in a
/// body
///   of a length, in chunks or up to the end of the connection, or in chunks with status 500, until
///   the caller closes.
/// GET /control/leave lets all further answers say that the endpoint leaves.
/// GET /control/fail?id=ID&status=CODE lets each run of that request end with the status.
class SealedEngine
{
public:
    struct Settings
    {
        std::string id;
        int events = 30;
        std::chrono::milliseconds eventGap{10};
        /// The process ends when it begins to answer a request whose prompt has this part, other
        /// than as its last one.
        std::string deadlyPart;
    };

    explicit SealedEngine(Settings settings);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    /// The data of an event, the same at each endpoint.
    static std::string eventData(const std::string &requestId, int event);

private:
    boost::asio::awaitable<void> control(HttpExchange &exchange);
    boost::asio::awaitable<void> run(HttpExchange &exchange, std::string requestId);
    boost::asio::awaitable<void> trickle(HttpExchange &exchange, std::string requestId);
    boost::asio::awaitable<void> staySilent(HttpExchange &exchange);
    boost::asio::awaitable<void> loseAnswer(HttpExchange &exchange,
                                            std::chrono::milliseconds after);
    boost::asio::awaitable<void> writePartOfHead(HttpExchange &exchange,
                                                 const std::string &requestId, std::size_t bytes);
    boost::asio::awaitable<void> writeEndless(HttpExchange &exchange, std::string requestId,
                                              const std::string &mode);
    boost::asio::awaitable<void> refuse(HttpExchange &exchange, const std::string &requestId,
                                        bool isRepeated);
    std::string headOfEndlessBody(const HttpExchange &exchange, const std::string &requestId,
                                  const std::string &mode) const;
    std::string takeMode();
    bool hasDeadlyPart(const HttpExchange &exchange) const;
    std::string headOf(unsigned status, const std::string &requestId,
                       const std::string &fields) const;
    boost::asio::awaitable<void> stream(HttpExchange &exchange, std::string requestId,
                                        bool endsByClose);
    boost::asio::awaitable<bool> write(HttpExchange &exchange, std::string text);

    Settings m_settings;
    std::map<std::string, int> m_runs;
    /// The status with which each run of a request ends, by its id.
    std::map<std::string, unsigned> m_failing;
    int m_cutAfter = -1;
    std::string m_mode;
    int m_modeCount = 0;
    bool m_isLeaving = false;
    /// Refusals that come once more on their connection, by the port of the caller.
    std::map<std::uint16_t, std::string> m_repeated;
};

} // namespace pistachiofall::standins
