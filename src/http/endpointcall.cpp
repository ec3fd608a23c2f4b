#include "http/endpointcall.h"

#include "http/answerreader.h"
#include "http/clientshared.h"
#include "http/endpointrequesthead.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::HttpStream;
using std::chrono::steady_clock;

namespace {

// What writeTimeout refers to.
constexpr std::size_t MinWriteProgress = 1024;
constexpr unsigned MinErrorStatus = 400;
// The endpoint's close of an idle connection that was on its way when the request was sent arrives
// within a round trip. A later one has another reason.
constexpr std::chrono::milliseconds MaxStaleTime{250};

Error tooLong(std::size_t maxBytes)
{
    return {ErrorCode::TooLarge,
            "the answer is longer than " + std::to_string(maxBytes) + " bytes"};
}

} // namespace

struct EndpointCall::Data
{
    Data(std::shared_ptr<detail::ClientShared> clientShared, const SocketAddress &endpoint,
         std::shared_ptr<const EndpointRequest> endpointRequest, const CallOptions &callOptions)
        : shared(std::move(clientShared))
        , address(endpoint)
        , request(std::move(endpointRequest))
        , options(callOptions)
        , wholeBody(shared->answerBudget)
    { }

    bool isPoolable() const { return options.idempotency == Idempotency::Idempotent; }
    bool isReusable() const;
    bool attach(std::shared_ptr<HttpStream> newStream);
    std::shared_ptr<HttpStream> detach();
    void finish();
    CallFailure fail(CallStage stage, Error error);

    asio::awaitable<std::optional<CallFailure>> connect();
    asio::awaitable<CallResult<AnswerHead>> exchange();
    asio::awaitable<std::optional<CallFailure>> write();

    std::shared_ptr<detail::ClientShared> shared;
    SocketAddress address;
    std::shared_ptr<const EndpointRequest> request;
    CallOptions options;
    RequestSent sent = RequestSent::Nothing;
    std::optional<detail::AnswerReader> reader;
    HttpStream::TimePoint firstByteDeadline;
    HttpStream::TimePoint bodyDeadline = HttpStream::NoDeadline;
    unsigned status = 0;
    bool hasBodyByte = false;
    std::size_t bodyBytes = 0;
    // Of the body that readAll() has returned, as long as the call lives.
    BufferShare wholeBody;
    bool isPooled = false;
    HttpStream::TimePoint sentAt{};

    // Guards the two below, which cancel() uses.
    std::mutex mutex;
    std::shared_ptr<HttpStream> stream;
    bool isCancelled = false;
};

// Makes the stream the one that cancel() closes; false when the call is cancelled already.
bool EndpointCall::Data::attach(std::shared_ptr<HttpStream> newStream)
{
    const std::scoped_lock lock(mutex);
    stream = std::move(newStream);
    if (isCancelled)
        stream->reset();
    return !isCancelled;
}

std::shared_ptr<HttpStream> EndpointCall::Data::detach()
{
    const std::scoped_lock lock(mutex);
    return std::exchange(stream, nullptr);
}

// A faulty endpoint may send a refusal once more, which would be taken for the answer to a further
// attempt of the same request. The connection is therefore kept after successes only.
bool EndpointCall::Data::isReusable() const
{
    return isPoolable() && status < MinErrorStatus && reader->isReusable();
}

// Ends a call whose answer is complete.
void EndpointCall::Data::finish()
{
    const std::shared_ptr<HttpStream> finished = detach();
    if (!finished)
        return;
    if (isReusable())
        shared->pool.put(address, options.trafficClass, finished);
    else
        finished->close();
}

CallFailure EndpointCall::Data::fail(CallStage stage, Error error)
{
    detail::ClientMetrics &metrics = shared->metrics;
    if (const auto failed = detach())
        failed->reset();
    {
        const std::scoped_lock lock(mutex);
        if (isCancelled)
            error = {ErrorCode::Cancelled, "the call was cancelled"};
    }
    const bool isStale = isPooled && error.code == ErrorCode::OutcomeUnknown
            && !reader->hasAnyByte() && steady_clock::now() - sentAt <= MaxStaleTime;
    if (error.code == ErrorCode::Cancelled)
        metrics.cancelled.add();
    else if (isStale)
        metrics.staleConnections.add();
    else if (stage == CallStage::Connect)
        metrics.connectFailures.add();
    else if (error.code != ErrorCode::TimedOut)
        metrics.brokenAnswers.add();
    else if (stage == CallStage::Body)
        metrics.gapTimeouts.add();
    else
        metrics.firstByteTimeouts.add();
    return {std::move(error), sent, stage, isStale};
}

asio::awaitable<std::optional<CallFailure>> EndpointCall::Data::connect()
{
    const tcp::endpoint target(asio::ip::make_address(address.host()), address.port());
    const auto newStream = HttpStream::create(tcp::socket(shared->executor));
    const bool isAttached = attach(newStream);
    boost::system::error_code error = asio::error::operation_aborted;
    if (isAttached) {
        const auto deadline = steady_clock::now() + options.connectTimeout;
        error = co_await newStream->connect(target, deadline);
    }
    if (error) {
        co_return fail(
                CallStage::Connect,
                {ErrorCode::Unavailable,
                 "no connection to endpoint " + address.toString() + ": " + error.message()});
    }
    shared->metrics.connectionsOpened.add();
    co_return std::nullopt;
}

asio::awaitable<std::optional<CallFailure>> EndpointCall::Data::write()
{
    const Result<std::string> head = detail::formatRequestHead(*request, address, isPoolable());
    if (!isOk(head))
        co_return fail(CallStage::Send, errorOf(head));
    sent = RequestSent::Possibly;
    sentAt = steady_clock::now();
    detail::ProgressWindow window(options.writeTimeout, MinWriteProgress);
    const HttpStream::Buffers buffers{asio::buffer(valueOf(head)), asio::buffer(request->body)};
    const detail::IoOutcome outcome = co_await stream->write(buffers, window);
    if (outcome.error && outcome.bytes == 0)
        sent = RequestSent::Nothing;
    if (outcome.error == asio::error::timed_out)
        co_return fail(CallStage::Send,
                       {ErrorCode::TimedOut, "the endpoint did not take the request in time"});
    if (outcome.error)
        co_return fail(CallStage::Send,
                       {ErrorCode::OutcomeUnknown,
                        "the connection broke within the request: " + outcome.error.message()});
    firstByteDeadline = steady_clock::now() + options.firstByteTimeout;
    co_return std::nullopt;
}

// Sends the request on the attached stream and reads the head of the answer.
asio::awaitable<CallResult<AnswerHead>> EndpointCall::Data::exchange()
{
    reader.emplace(stream, request->method, options.acceptsEndByClose);
    std::optional<CallFailure> failure = co_await write();
    if (failure)
        co_return std::move(*failure);
    Result<AnswerHead> head = co_await reader->readHead(firstByteDeadline);
    if (!isOk(head))
        co_return fail(CallStage::FirstByte, errorOf(head));
    status = valueOf(head).status;
    if (reader->isComplete())
        finish();
    co_return valueOf(std::move(head));
}

EndpointCall::EndpointCall(std::shared_ptr<detail::ClientShared> shared,
                           const SocketAddress &address,
                           std::shared_ptr<const EndpointRequest> request,
                           const CallOptions &options)
    : m_data(std::make_unique<Data>(std::move(shared), address, std::move(request), options))
{ }

EndpointCall::~EndpointCall()
{
    if (const auto unfinished = m_data->detach())
        unfinished->reset();
}

asio::awaitable<CallResult<AnswerHead>> EndpointCall::send()
{
    Data &data = *m_data;
    detail::ClientMetrics &metrics = data.shared->metrics;
    metrics.calls.add();
    std::shared_ptr<HttpStream> pooled;
    if (data.isPoolable())
        pooled = data.shared->pool.take(data.address, data.options.trafficClass);
    if (pooled) {
        metrics.connectionsReused.add();
        if (!data.attach(pooled))
            co_return data.fail(CallStage::Connect, {});
        data.isPooled = true;
        co_return co_await data.exchange();
    }
    std::optional<CallFailure> failure = co_await data.connect();
    if (failure)
        co_return std::move(*failure);
    co_return co_await data.exchange();
}

asio::awaitable<CallResult<std::string>> EndpointCall::readSome()
{
    Data &data = *m_data;
    if (!data.reader)
        co_return data.fail(CallStage::Body, {ErrorCode::Internal, "no answer to read"});
    const auto deadline = data.hasBodyByte ? steady_clock::now() + data.options.gapTimeout
                                           : data.firstByteDeadline;
    Result<std::string> piece =
            co_await data.reader->readBodySome(std::min(deadline, data.bodyDeadline));
    if (!isOk(piece))
        co_return data.fail(data.hasBodyByte ? CallStage::Body : CallStage::FirstByte,
                            errorOf(piece));
    data.hasBodyByte = true;
    data.bodyBytes += valueOf(piece).size();
    if (data.bodyBytes > data.options.maxBodyBytes)
        co_return data.fail(CallStage::Body, tooLong(data.options.maxBodyBytes));
    if (data.reader->isComplete())
        data.finish();
    co_return valueOf(std::move(piece));
}

asio::awaitable<CallResult<std::string>> EndpointCall::readAll(std::size_t maxBytes)
{
    std::string body;
    for (;;) {
        CallResult<std::string> piece = co_await readSome();
        if (!isOk(piece))
            co_return piece;
        if (valueOf(piece).empty())
            co_return body;
        if (valueOf(piece).size() > maxBytes - body.size())
            co_return m_data->fail(CallStage::Body, tooLong(maxBytes));
        if (!m_data->wholeBody.resize(heldBytes(body.size() + valueOf(piece).size())))
            co_return m_data->fail(CallStage::Body,
                                   {ErrorCode::TooLarge,
                                    "there is no memory for more than "
                                            + std::to_string(body.size())
                                            + " bytes of the answer"});
        body += valueOf(piece);
    }
}

asio::awaitable<CallResult<std::string>> EndpointCall::readRefusal()
{
    m_data->bodyDeadline = steady_clock::now() + m_data->options.refusalTimeout;
    co_return co_await readAll(m_data->options.maxBodyBytes);
}

void EndpointCall::cancel()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->isCancelled = true;
    if (m_data->stream)
        m_data->stream->reset();
}

} // namespace pistachiofall
