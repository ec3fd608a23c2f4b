#include "store/watchcall.h"

#include "store/callerror.h"
#include "store/httpcall.h"
#include "store/percentencoding.h"
#include "store/watchevent.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::store::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using pistachiofall::detail::AnswerReader;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusGone = 410;

using TimePoint = std::chrono::steady_clock::time_point;

// How a watch ended. Nothing: the version is too old for the store.
using WatchEnd = std::optional<Result<StoredObject>>;

struct WatchTimes
{
    TimePoint headDeadline;
    /// A watch that the store ends before this time has ended early.
    TimePoint half;
    TimePoint deadline;
};

struct WatchRun
{
    std::shared_ptr<ConnectionPool> pool;
    std::unique_ptr<StoreConnection> connection;
    HttpRequest httpRequest;
    /// The version that is no change for the caller.
    std::string version;
    WatchTimes times;
};

std::chrono::seconds storeTimeout(const WatchRequest &request)
{
    return std::max(std::chrono::ceil<std::chrono::seconds>(request.timeout),
                    std::chrono::seconds{1});
}

WatchTimes makeTimes(const WatchRequest &request)
{
    const TimePoint start = std::chrono::steady_clock::now();
    const auto timeout = storeTimeout(request);
    return {start + request.callTimeout, start + timeout / 2,
            start + timeout + request.callTimeout};
}

HttpRequest makeWatchRequest(const WatchRequest &request, const std::string &fromVersion,
                             const std::string &host)
{
    std::string target = request.path
            + "?watch=1&fieldSelector=" + percentEncode("metadata.name=" + request.name)
            + "&timeoutSeconds=" + std::to_string(storeTimeout(request).count());
    if (!fromVersion.empty())
        target += "&resourceVersion=" + percentEncode(fromVersion);
    return makeRequest(http::verb::get, target, host);
}

// A watch changes nothing, and its timeout means only that the store did not answer.
Error watchError(Error error)
{
    if (error.code == ErrorCode::TimedOut)
        error.code = ErrorCode::Unavailable;
    return error;
}

// Takes the complete lines out of the text that has come so far, up to the first that ends the
// watch.
std::optional<WatchEnd> handleLines(std::string &text, const std::string &version)
{
    std::optional<WatchEnd> end;
    std::size_t start = 0;
    for (std::size_t newline = text.find('\n'); newline != std::string::npos && !end;
         newline = text.find('\n', start)) {
        const Result<WatchEvent> event =
                decodeWatchEvent(std::string_view(text).substr(start, newline - start));
        start = newline + 1;
        if (!isOk(event))
            end = WatchEnd(errorOf(event));
        else if (valueOf(event).type == WatchEvent::Type::Expired)
            end = WatchEnd();
        else if (valueOf(event).type == WatchEvent::Type::Removed)
            end = WatchEnd(
                    Error{ErrorCode::NotFound, "the object was removed while it was watched"});
        else if (valueOf(event).type == WatchEvent::Type::Changed
                 && valueOf(event).object.version != version)
            end = WatchEnd(valueOf(event).object);
    }
    text.erase(0, start);
    if (!end && text.size() > MaxAnswerBytes)
        end = WatchEnd(
                Error{ErrorCode::ProtocolError, "an event of the store's watch is too large"});
    return end;
}

// Reads the rest of the answer to a watch that the store refused.
asio::awaitable<WatchEnd> readRefusal(AnswerReader &reader, unsigned status, TimePoint deadline)
{
    const Result<std::string> body = co_await readBody(reader, CallKind::Watch, deadline);
    if (!isOk(body))
        co_return watchError(errorOf(body));
    if (status == StatusGone)
        co_return WatchEnd();
    co_return answerError(CallKind::Watch, status, valueOf(body));
}

// Reads events until one ends the watch or the store does.
asio::awaitable<WatchEnd> readEvents(AnswerReader &reader, std::string version, WatchTimes times)
{
    std::string text;
    for (;;) {
        const Result<std::string> piece = co_await reader.readBodySome(times.deadline);
        if (!isOk(piece))
            co_return watchError(answerReadError(CallKind::Watch, errorOf(piece)));
        if (valueOf(piece).empty())
            break;
        text += valueOf(piece);
        const auto end = handleLines(text, version);
        if (end)
            co_return *end;
    }
    if (std::chrono::steady_clock::now() < times.half)
        co_return Error{ErrorCode::Unavailable, "the store ended the watch early"};
    co_return Error{ErrorCode::TimedOut, "no change within the time of the watch"};
}

asio::awaitable<WatchEnd> runWatch(WatchRun run)
{
    StoreConnection &connection = *run.connection;
    connection.stream.expires_at(run.times.headDeadline);
    const Result<Done> sent = co_await sendRequest(connection, run.pool->endpoint(),
                                                   run.httpRequest, CallKind::Watch);
    if (!isOk(sent))
        co_return watchError(errorOf(sent));
    const auto reader = readerOf(connection, run.httpRequest);
    const Result<AnswerHead> head = co_await reader->readHead(run.times.headDeadline);
    if (!isOk(head))
        co_return watchError(answerReadError(CallKind::Watch, errorOf(head)));
    const unsigned status = valueOf(head).status;
    WatchEnd end;
    if (status == StatusOk)
        end = co_await readEvents(*reader, run.version, run.times);
    else
        end = co_await readRefusal(*reader, status, run.times.headDeadline);
    if (reader->isReusable())
        run.pool->put(std::move(run.connection));
    co_return end;
}

asio::awaitable<WatchEnd> spawnWatch(std::shared_ptr<ConnectionPool> pool, WatchRequest request,
                                     std::string fromVersion)
{
    WatchRun run{pool, pool->take(), makeWatchRequest(request, fromVersion, pool->host()),
                 request.version, makeTimes(request)};
    const auto strand = run.connection->stream.get_executor();
    auto watch = runWatch(std::move(run));
    WatchEnd end = co_await asio::co_spawn(strand, std::move(watch), asio::use_awaitable);
    if (end && !isOk(*end) && errorOf(*end).code == ErrorCode::Unavailable)
        pool->clear();
    co_return end;
}

} // namespace

asio::awaitable<Result<StoredObject>> watchCall(std::shared_ptr<ConnectionPool> pool,
                                                WatchRequest request)
{
    WatchEnd end = co_await spawnWatch(pool, request, request.version);
    if (end)
        co_return std::move(*end);
    // Without a version the store first sends the present state, in which the version that the
    // caller has is passed over.
    const std::string noVersion;
    end = co_await spawnWatch(pool, request, noVersion);
    if (end)
        co_return std::move(*end);
    co_return Error{ErrorCode::ProtocolError, "the store calls a watch without a version expired"};
}

} // namespace pistachiofall::store::detail
