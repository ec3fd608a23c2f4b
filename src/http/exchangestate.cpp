#include "http/exchangestate.h"

#include <charconv>
#include <utility>

namespace pistachiofall::detail {

namespace asio = boost::asio;

namespace {

// A longer rest of a body costs more to read than a new connection.
constexpr std::uint64_t MaxDiscardedBody = 64 * 1024;

asio::const_buffer bufferOf(std::string_view text)
{
    return {text.data(), text.size()};
}

bool forbidsBody(unsigned status)
{
    return status == 204 || status == 304;
}

} // namespace

ExchangeState::ExchangeState(std::shared_ptr<ListenerShared> shared,
                             std::shared_ptr<HttpStream> stream, RequestReader &reader,
                             const std::string &peerAddress)
    : m_shared(std::move(shared))
    , m_stream(std::move(stream))
    , m_reader(reader)
    , m_peerAddress(peerAddress)
    , m_writeWindow(m_shared->settings.writeTimeout, m_shared->settings.minProgressBytes)
    , m_wholeBody(m_shared->settings.bodyBudget)
    , m_isContinueDue(reader.head().expectsContinue)
{ }

asio::awaitable<Result<std::string>> ExchangeState::readBody(std::size_t maxBytes)
{
    const Error tooLarge{ErrorCode::TooLarge,
                         "the body is longer than " + std::to_string(maxBytes) + " bytes"};
    if (m_reader.bodyLength().value_or(0) > maxBytes)
        co_return tooLarge;
    std::string body;
    for (;;) {
        Result<std::string> piece = co_await readBodySome();
        if (!isOk(piece))
            co_return piece;
        if (valueOf(piece).empty())
            co_return body;
        if (valueOf(piece).size() > maxBytes - body.size())
            co_return tooLarge;
        if (!m_wholeBody.resize(heldBytes(body.size() + valueOf(piece).size())))
            co_return Error{ErrorCode::Overloaded, "there is no memory for the body now"};
        body += valueOf(piece);
    }
}

asio::awaitable<Result<std::string>> ExchangeState::readBodySome()
{
    if (m_isBodyBroken)
        co_return Error{ErrorCode::Cancelled, "reading the body has failed before"};
    if (std::exchange(m_isContinueDue, false))
        co_await sendContinue();
    Result<std::string> piece = co_await m_reader.readBodySome();
    if (!isOk(piece)) {
        m_isBodyBroken = true;
        if (errorOf(piece).code == ErrorCode::TimedOut)
            m_shared->metrics.bodyTimeouts.add();
        if (errorOf(piece).code == ErrorCode::Cancelled)
            noteCallerGone();
    }
    watchCaller();
    co_return piece;
}

asio::awaitable<void> ExchangeState::sendContinue()
{
    const HttpStream::Buffers buffers{bufferOf("HTTP/1.1 100 Continue\r\n\r\n")};
    if (m_answer == Answer::None)
        co_await send(buffers);
}

// Writes to the transport. A caller that does not take the bytes is cut off.
asio::awaitable<bool> ExchangeState::send(HttpStream::Buffers buffers)
{
    if (m_answer == Answer::Aborted)
        co_return false;
    const IoOutcome outcome = co_await m_stream->write(buffers, m_writeWindow);
    if (!outcome.error)
        co_return true;
    if (outcome.error == asio::error::timed_out)
        m_shared->metrics.writeTimeouts.add();
    m_answer = Answer::Aborted;
    m_isCallerGone = true;
    m_stream->reset();
    co_return false;
}

bool ExchangeState::mayReuseConnection() const
{
    if (!head().keepsAlive || m_shared->closesAfterAnswers || m_isBodyBroken || m_isCallerGone)
        return false;
    // A caller that waits for "100 Continue" may send the body or the next request after a final
    // answer; the two can not be told apart.
    const auto left = m_reader.bodyBytesLeft();
    return !m_isContinueDue && left && *left <= MaxDiscardedBody;
}

asio::awaitable<bool> ExchangeState::respond(unsigned status, HttpHeaders headers, std::string body)
{
    if (m_answer != Answer::None)
        co_return false;
    m_keepsAlive = mayReuseConnection();
    const auto framing = forbidsBody(status) ? BodyFraming::None : BodyFraming::Length;
    const ResponseHead response{status, std::move(headers), framing, body.size(), m_keepsAlive};
    const std::string text = formatResponseHead(response);
    const bool hasBody = framing == BodyFraming::Length && head().method != "HEAD";
    HttpStream::Buffers buffers{bufferOf(text)};
    if (hasBody)
        buffers[1] = bufferOf(body);
    const bool isSent = co_await send(buffers);
    if (isSent)
        m_answer = Answer::Complete;
    co_return isSent;
}

asio::awaitable<bool> ExchangeState::startStream(unsigned status, HttpHeaders headers)
{
    if (m_answer != Answer::None || !head().isHttp11)
        co_return false;
    m_keepsAlive = mayReuseConnection();
    m_answer = Answer::Streaming;
    const auto framing = forbidsBody(status) ? BodyFraming::None : BodyFraming::Chunked;
    const ResponseHead response{status, std::move(headers), framing, 0, m_keepsAlive};
    const std::string text = formatResponseHead(response);
    const HttpStream::Buffers buffers{bufferOf(text)};
    co_return co_await send(buffers);
}

asio::awaitable<bool> ExchangeState::writeChunk(std::string data)
{
    if (m_answer != Answer::Streaming)
        co_return false;
    if (data.empty() || head().method == "HEAD")
        co_return true;
    std::array<char, 20> size{};
    char *end = std::to_chars(size.data(), size.data() + 16, data.size(), 16).ptr;
    *end++ = '\r';
    *end++ = '\n';
    const std::string_view line(size.data(), static_cast<std::size_t>(end - size.data()));
    const HttpStream::Buffers buffers{bufferOf(line), bufferOf(data), bufferOf("\r\n")};
    co_return co_await send(buffers);
}

asio::awaitable<bool> ExchangeState::finishStream()
{
    if (m_answer != Answer::Streaming)
        co_return false;
    HttpStream::Buffers buffers{};
    if (head().method != "HEAD")
        buffers[0] = bufferOf("0\r\n\r\n");
    const bool isSent = co_await send(buffers);
    if (isSent)
        m_answer = Answer::Complete;
    co_return isSent;
}

void ExchangeState::abort()
{
    if (m_answer == Answer::Complete || m_answer == Answer::Aborted)
        return;
    m_answer = Answer::Aborted;
    m_shared->metrics.answersAborted.add();
    m_stream->reset();
}

void ExchangeState::onCallerGone(std::function<void()> callback)
{
    m_onCallerGone = std::move(callback);
    if (m_isCallerGone)
        noteCallerGone();
    else
        watchCaller();
}

void ExchangeState::noteCallerGone()
{
    if (!std::exchange(m_isCallerGone, true))
        m_shared->metrics.callersGone.add();
    const auto callback = std::exchange(m_onCallerGone, nullptr);
    if (callback)
        callback();
}

void ExchangeState::watchCaller()
{
    if (!m_onCallerGone || m_isWatching || !m_reader.isBodyComplete())
        return;
    m_isWatching = true;
    m_stream->watchForClose([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_isWatching)
            self->noteCallerGone();
    });
}

asio::awaitable<bool> ExchangeState::discardBody()
{
    while (!m_reader.isBodyComplete()) {
        const Result<std::string> piece = co_await readBodySome();
        if (!isOk(piece))
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> ExchangeState::finish()
{
    m_onCallerGone = nullptr;
    if (std::exchange(m_isWatching, false))
        m_stream->stopWatching();
    if (m_answer == Answer::None && !m_isCallerGone) {
        ErrorAnswer answer = makeErrorAnswer({ErrorCode::Internal, "the request was not answered"},
                                             RunState::Unknown);
        co_await respond(answer.status, std::move(answer.headers), std::move(answer.body));
    }
    if (m_answer != Answer::Complete) {
        abort();
        co_return false;
    }
    if (!m_keepsAlive)
        co_return false;
    co_return co_await discardBody();
}

} // namespace pistachiofall::detail
