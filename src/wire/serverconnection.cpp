#include "wire/serverconnection.h"

#include "wire/body.h"
#include "wire/framecodec.h"

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::detail {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

// An instance may have several hundred slot requests waiting at one owner; each is in progress.
constexpr std::size_t MaxInProgress = 1024;

// Reading pauses while more than this is not written, so that a peer that sends and does not read
// can not fill the memory.
constexpr std::size_t MaxOutputBytes = std::size_t{4} << 20U;

// A live peer takes a frame, and completes one it began, within milliseconds.
constexpr std::chrono::seconds StallLimit{10};

// Longer than the client's idle limit, so that the client, which knows of its own calls, closes.
constexpr std::chrono::minutes IdleLimit{10};

constexpr std::chrono::seconds WatchInterval{5};

} // namespace

ServerConnection::ServerConnection(const asio::any_io_executor &executor,
                                   asio::ip::tcp::socket socket,
                                   std::shared_ptr<const PeerHandler> handler,
                                   std::shared_ptr<WireMetrics> metrics)
    : m_executor(executor)
    , m_strand(socket.get_executor())
    , m_stream(std::move(socket), metrics)
    , m_handler(std::move(handler))
    , m_metrics(std::move(metrics))
    , m_isClosed(std::make_shared<std::atomic<bool>>(false))
    , m_watchTimer(m_strand)
    , m_drained(m_strand)
{
    m_metrics->serverConnections.add(1);
}

ServerConnection::~ServerConnection()
{
    *m_isClosed = true;
    m_metrics->serverConnections.add(-1);
}

void ServerConnection::start()
{
    asio::co_spawn(m_strand, run(shared_from_this()), asio::detached);
    asio::co_spawn(m_strand, watch(shared_from_this()), asio::detached);
}

void ServerConnection::requestClose()
{
    asio::post(m_strand, [self = shared_from_this()] { self->close(); });
}

asio::awaitable<void> ServerConnection::run(Self self)
{
    while (auto frame = co_await self->m_stream.read()) {
        if (frame->envelope.isReply) {
            self->m_metrics->addFault(FrameFault::Malformed);
            break;
        }
        self->receive(std::move(frame->envelope));
        while (self->m_output.size() > MaxOutputBytes && !*self->m_isClosed) {
            boost::system::error_code ignored;
            self->m_drained.expires_at(TimePoint::max());
            co_await self->m_drained.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    self->close();
}

asio::awaitable<void> ServerConnection::watch(Self self)
{
    while (!*self->m_isClosed) {
        boost::system::error_code ignored;
        self->m_watchTimer.expires_after(WatchInterval);
        co_await self->m_watchTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = steady_clock::now();
        if (self->isStalled(now)) {
            self->m_metrics->stalled.add();
            self->close();
        }
        if (self->m_inProgress == 0 && now - self->m_stream.lastReceived() > IdleLimit)
            self->close();
    }
}

bool ServerConnection::isStalled(TimePoint now) const
{
    if (const auto since = m_stream.writingSince())
        return now - *since > StallLimit;
    return m_stream.isInsideFrame() && now - m_stream.lastReceived() > StallLimit;
}

void ServerConnection::receive(wire::EnvelopeT request)
{
    if (request.body.AsPing() != nullptr) {
        reply(request.correlationId, makeBody(wire::PongT{}));
        return;
    }
    if (request.body.type == wire::Body::NONE) {
        m_metrics->unhandled.add();
        reply(request.correlationId, wire::BodyUnion{});
        return;
    }
    if (m_inProgress >= MaxInProgress) {
        m_metrics->overloaded.add();
        reply(request.correlationId, wire::BodyUnion{});
        return;
    }
    ++m_inProgress;
    const auto deadline = steady_clock::now() + std::chrono::milliseconds{request.timeLeftMs};
    asio::co_spawn(m_executor, serve(shared_from_this(), std::move(request), deadline),
                   asio::detached);
}

asio::awaitable<void> ServerConnection::serve(Self self, wire::EnvelopeT request,
                                              TimePoint deadline)
{
    std::optional<wire::BodyUnion> body;
    if (steady_clock::now() < deadline) {
        PeerRequestContext context{deadline, self->m_isClosed};
        try {
            body = co_await (*self->m_handler)(request, std::move(context));
        } catch (const std::exception &) {
            // Without a reply the caller's call times out, which is right: the request may have
            // taken effect.
            self->m_metrics->handlerFailed.add();
        }
    } else {
        self->m_metrics->expired.add();
    }
    const auto strand = self->m_strand;
    const auto id = request.correlationId;
    asio::post(strand, [self = std::move(self), body = std::move(body), id, deadline]() mutable {
        --self->m_inProgress;
        if (body)
            self->finish(id, *std::move(body), deadline);
    });
}

void ServerConnection::finish(std::uint64_t correlationId, wire::BodyUnion body, TimePoint deadline)
{
    if (steady_clock::now() >= deadline) {
        m_metrics->expired.add();
        return;
    }
    if (body.type == wire::Body::NONE)
        m_metrics->unhandled.add();
    reply(correlationId, std::move(body));
}

void ServerConnection::reply(std::uint64_t correlationId, wire::BodyUnion body)
{
    if (*m_isClosed)
        return;
    wire::EnvelopeT envelope;
    envelope.correlationId = correlationId;
    envelope.isReply = true;
    envelope.body = std::move(body);
    const auto frame = encodeFrame(envelope);
    if (!isOk(frame)) {
        m_metrics->addFault(FrameFault::Oversized);
        return;
    }
    m_metrics->addSent(envelope.body.type, valueOf(frame).size());
    const bool isWriting = m_stream.writingSince().has_value() || !m_output.empty();
    m_output += valueOf(frame);
    if (!isWriting)
        asio::co_spawn(m_strand, writeQueued(shared_from_this()), asio::detached);
}

asio::awaitable<void> ServerConnection::writeQueued(Self self)
{
    while (!self->m_output.empty() && !*self->m_isClosed) {
        std::string bytes;
        bytes.swap(self->m_output);
        self->m_drained.cancel();
        const bool isWritten = co_await self->m_stream.write(std::move(bytes));
        if (!isWritten)
            self->close();
    }
}

void ServerConnection::close()
{
    *m_isClosed = true;
    m_stream.close();
    m_watchTimer.cancel();
    m_drained.cancel();
}

} // namespace pistachiofall::detail
