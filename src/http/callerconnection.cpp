#include "http/callerconnection.h"

#include "http/exchangestate.h"
#include "http/requestreader.h"
#include "http/responsehead.h"

#include <utility>

namespace pistachiofall::detail {

namespace asio = boost::asio;

namespace {

// How long a closing connection may take to read its last answer.
constexpr std::chrono::milliseconds CloseTimeout{2000};
// A connection that is refused must not hold memory for long either.
constexpr std::chrono::milliseconds RefuseTimeout{500};

// Answers a request that has no exchange, because its header could not be read, and closes.
asio::awaitable<void> respondAndClose(const ListenerSettings &settings,
                                      std::shared_ptr<HttpStream> stream, ErrorAnswer answer,
                                      std::chrono::milliseconds closeTimeout)
{
    const ResponseHead head{answer.status, answer.headers, BodyFraming::Length, answer.body.size(),
                            false};
    const std::string text = formatResponseHead(head) + answer.body;
    ProgressWindow window(settings.writeTimeout, settings.minProgressBytes);
    const HttpStream::Buffers buffers{asio::buffer(text)};
    const IoOutcome outcome = co_await stream->write(buffers, window);
    if (outcome.error)
        stream->reset();
    else
        co_await stream->closeGently(closeTimeout);
}

ErrorAnswer headerError(unsigned status, const char *message)
{
    ErrorAnswer answer = makeErrorAnswer({ErrorCode::InvalidArgument, message}, RunState::NotRun);
    answer.status = status;
    return answer;
}

asio::awaitable<void> endWithoutRequest(const ListenerShared &shared,
                                        std::shared_ptr<HttpStream> stream, HeadOutcome outcome)
{
    const ListenerMetrics &metrics = shared.metrics;
    ErrorAnswer answer;
    switch (outcome) {
    case HeadOutcome::Ready:
    case HeadOutcome::Closed:
        stream->close();
        co_return;
    case HeadOutcome::Idle:
        metrics.idleTimeouts.add();
        stream->close();
        co_return;
    case HeadOutcome::Truncated:
        metrics.requestsMalformed.add();
        stream->close();
        co_return;
    case HeadOutcome::TimedOut:
        metrics.headerTimeouts.add();
        answer = headerError(408, "the header was not complete in time");
        break;
    case HeadOutcome::TooLong:
        metrics.requestsMalformed.add();
        answer = headerError(431, "the header is too long");
        break;
    case HeadOutcome::Malformed:
        metrics.requestsMalformed.add();
        answer = headerError(400, "the header is malformed");
        break;
    }
    co_await respondAndClose(shared.settings, std::move(stream), std::move(answer), CloseTimeout);
}

asio::awaitable<void> runHandler(std::shared_ptr<RequestHandler> handler,
                                 std::shared_ptr<ExchangeState> state)
{
    ServerExchange exchange(std::move(state));
    try {
        co_await (*handler)(exchange);
    } catch (...) {
        // The exchange ends as if the handler had returned; the counters show the answer 500.
        co_return;
    }
}

} // namespace

asio::awaitable<void> serveConnection(std::shared_ptr<ListenerShared> shared,
                                      std::shared_ptr<CallerConnection> connection,
                                      std::shared_ptr<RequestHandler> handler)
{
    RequestReader reader(connection->stream, shared->settings);
    const std::function<void()> markBusy = [&idleSince = connection->idleSince] {
        idleSince = CallerConnection::Busy;
    };
    const ListenerSettings &settings = shared->settings;
    auto firstByteTimeout = settings.headerTimeout;
    for (;;) {
        const HeadOutcome outcome = co_await reader.readHead(firstByteTimeout, markBusy);
        if (outcome != HeadOutcome::Ready) {
            co_await endWithoutRequest(*shared, connection->stream, outcome);
            co_return;
        }
        shared->metrics.requests.add();
        shared->metrics.requestsInFlight.add(1);
        const auto state = std::make_shared<ExchangeState>(shared, connection->stream, reader,
                                                           connection->peerAddress);
        co_await runHandler(handler, state);
        const bool isReusable = co_await state->finish();
        shared->metrics.requestsInFlight.add(-1);
        if (!isReusable)
            break;
        connection->idleSince = std::chrono::steady_clock::now();
        firstByteTimeout = shared->isStopping ? settings.stopIdleGrace : settings.idleTimeout;
    }
    co_await connection->stream->closeGently(CloseTimeout);
}

asio::awaitable<void> refuseConnection(std::shared_ptr<ListenerShared> shared,
                                       std::shared_ptr<HttpStream> stream)
{
    ErrorAnswer answer =
            makeErrorAnswer({ErrorCode::Overloaded, "too many connections"}, RunState::NotRun);
    co_await respondAndClose(shared->settings, std::move(stream), std::move(answer), RefuseTimeout);
}

} // namespace pistachiofall::detail
