#include "wire/clientconnection.h"

#include "wire/body.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

// Calls that wait to be sent go out in one write up to this size.
constexpr std::size_t MaxWriteBytes = std::size_t{64} << 10U;

std::chrono::milliseconds timeUntil(steady_clock::time_point deadline, steady_clock::time_point now)
{
    return std::chrono::floor<std::chrono::milliseconds>(deadline - now);
}

} // namespace

ClientConnection::ClientConnection(const asio::any_io_executor &executor,
                                   const SocketAddress &address, const PeerClientSettings &settings,
                                   std::shared_ptr<WireMetrics> metrics, EventHandler onEvent)
    : m_strand(asio::make_strand(executor))
    , m_address(address)
    , m_settings(settings)
    , m_stream(tcp::socket(m_strand), metrics)
    , m_metrics(std::move(metrics))
    , m_onEvent(std::move(onEvent))
    , m_silence(settings.probeAfter, settings.closeAfter)
    , m_watchTimer(m_strand)
{
    m_metrics->clientConnections.add(1);
}

ClientConnection::~ClientConnection()
{
    m_metrics->clientConnections.add(-1);
}

asio::awaitable<void> ClientConnection::run(Self self)
{
    const auto error = co_await self->connect();
    if (self->m_state == State::Closed)
        co_return;
    if (error) {
        self->failConnect(error);
        co_return;
    }
    self->m_state = State::Open;
    self->m_onEvent(Event::Connected, *self);
    asio::co_spawn(self->m_strand, watch(self), asio::detached);
    self->startWriting();
    while (auto frame = co_await self->m_stream.read())
        self->receive(std::move(frame->envelope));
    if (self->m_state != State::Closed && !self->m_calls.empty())
        self->m_metrics->broken.add();
    self->close("the connection broke");
}

asio::awaitable<boost::system::error_code> ClientConnection::connect()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_address.host()), m_address.port());
    m_watchTimer.expires_after(m_settings.connectTimeout);
    m_watchTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->m_state == State::Connecting)
            self->m_stream.close();
    });
    boost::system::error_code error;
    co_await m_stream.socket().async_connect(endpoint,
                                             asio::redirect_error(asio::use_awaitable, error));
    m_watchTimer.cancel();
    boost::system::error_code ignored;
    if (!error)
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return error;
}

void ClientConnection::failConnect(boost::system::error_code error)
{
    if (error == asio::error::connection_refused) {
        m_metrics->connectRefused.add();
        m_onEvent(Event::Refused, *this);
        close("the connection was refused");
        return;
    }
    m_metrics->connectFailed.add();
    m_onEvent(Event::ConnectFailed, *this);
    // Only the timeout cancels an attempt.
    close(error == asio::error::operation_aborted ? "no connection within "
                          + std::to_string(m_settings.connectTimeout.count()) + " ms"
                                                  : "cannot connect: " + error.message());
}

asio::awaitable<std::optional<ClientConnection::Reply>>
ClientConnection::call(Self self, std::shared_ptr<const wire::BodyUnion> request,
                       TimePoint deadline)
{
    if (self->m_state == State::Closed)
        co_return std::nullopt;
    const auto call = std::make_shared<Call>(self->m_strand);
    call->request = std::move(request);
    call->deadline = deadline;
    const std::uint64_t id = ++self->m_lastId;
    self->m_calls.emplace(id, call);
    self->m_unsent.push_back(id);
    self->startWriting();
    boost::system::error_code error;
    if (!call->reply) {
        call->wake.expires_at(deadline);
        co_await call->wake.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    self->m_calls.erase(id);
    if (call->reply)
        co_return std::move(call->reply);
    const std::string what = messageName(call->request->type) + " to " + self->m_address.toString();
    if (error)
        co_return Error{ErrorCode::Cancelled, what + " was cancelled by its caller"};
    self->m_metrics->callTimedOut.add();
    co_return Error{ErrorCode::TimedOut, what + " got no reply in time"};
}

void ClientConnection::startWriting()
{
    if (m_state != State::Open || m_isWriting)
        return;
    m_isWriting = true;
    asio::co_spawn(m_strand, writeQueued(shared_from_this()), asio::detached);
}

asio::awaitable<void> ClientConnection::writeQueued(Self self)
{
    while (self->m_state == State::Open && (!self->m_unsent.empty() || self->m_isProbeDue)) {
        std::string bytes = self->encodeQueued();
        if (bytes.empty())
            continue;
        self->m_lastUsed = steady_clock::now();
        if (!self->m_silence.nextAction())
            self->m_watchTimer.cancel();
        self->m_silence.onSent(self->m_lastUsed);
        const bool isWritten = co_await self->m_stream.write(std::move(bytes));
        if (!isWritten)
            self->close("the connection broke");
    }
    self->m_isWriting = false;
}

std::string ClientConnection::encodeQueued()
{
    std::string bytes;
    if (std::exchange(m_isProbeDue, false))
        bytes += encodeProbe();
    const auto now = steady_clock::now();
    while (!m_unsent.empty() && bytes.size() < MaxWriteBytes) {
        const std::uint64_t id = m_unsent.front();
        m_unsent.pop_front();
        const auto found = m_calls.find(id);
        if (found != m_calls.end())
            bytes += encodeCall(id, *found->second, now);
    }
    return bytes;
}

std::string ClientConnection::encodeCall(std::uint64_t id, Call &call, TimePoint now)
{
    const auto left = timeUntil(call.deadline, now);
    if (left.count() <= 0)
        return {};
    wire::EnvelopeT envelope;
    envelope.correlationId = id;
    envelope.timeLeftMs = static_cast<std::uint32_t>(
            std::min<std::int64_t>(left.count(), std::numeric_limits<std::uint32_t>::max()));
    envelope.body = *call.request;
    auto frame = encodeFrame(envelope);
    if (!isOk(frame)) {
        finish(call, errorOf(frame));
        return {};
    }
    m_metrics->addSent(call.request->type, valueOf(frame).size());
    call.isSent = true;
    return valueOf(std::move(frame));
}

std::string ClientConnection::encodeProbe()
{
    wire::EnvelopeT envelope;
    envelope.correlationId = ++m_lastId;
    envelope.timeLeftMs = static_cast<std::uint32_t>(m_settings.closeAfter.count());
    envelope.body = makeBody(wire::PingT{});
    const auto frame = encodeFrame(envelope);
    m_metrics->addSent(envelope.body.type, valueOf(frame).size());
    return valueOf(frame);
}

void ClientConnection::receive(wire::EnvelopeT envelope)
{
    if (!envelope.isReply) {
        m_metrics->addFault(FrameFault::Malformed);
        close("the peer sent a request instead of a reply");
        return;
    }
    const auto found = m_calls.find(envelope.correlationId);
    if (found != m_calls.end() && !found->second->reply) {
        Call &call = *found->second;
        if (envelope.body.type == wire::Body::NONE) {
            finish(call,
                   Error{ErrorCode::Unavailable,
                         m_address.toString() + " did not run " + messageName(call.request->type)});
        } else {
            finish(call, std::move(envelope.body));
        }
        m_calls.erase(found);
    } else if (envelope.body.AsPong() == nullptr) {
        m_metrics->lateReplies.add();
    }
    m_silence.onReceived(steady_clock::now(), !m_calls.empty());
}

asio::awaitable<void> ClientConnection::watch(Self self)
{
    while (self->m_state == State::Open) {
        self->m_watchTimer.expires_at(self->nextWatch());
        boost::system::error_code ignored;
        co_await self->m_watchTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (self->m_state != State::Open)
            co_return;
        const auto now = steady_clock::now();
        if (self->m_silence.nextAction())
            self->checkSilence(now);
        else if (self->m_calls.empty() && now - self->m_lastUsed >= self->m_settings.idleTimeout)
            self->close("the connection was idle");
    }
}

ClientConnection::TimePoint ClientConnection::nextWatch() const
{
    return m_silence.nextAction().value_or(m_lastUsed + m_settings.idleTimeout);
}

void ClientConnection::checkSilence(TimePoint now)
{
    // Parts of a large frame, and bytes that arrived while this process was paused, show that the
    // peer answers.
    const auto next = *m_silence.nextAction();
    const bool isReceiving =
            m_stream.isInsideFrame() && now - m_stream.lastReceived() < m_settings.probeAfter;
    if (now >= next && (isReceiving || m_stream.hasUnreadBytes())) {
        m_silence.onReceived(now, true);
        return;
    }
    switch (m_silence.poll(now)) {
    case SilenceDetector::Action::None:
        break;
    case SilenceDetector::Action::Probe:
        m_isProbeDue = true;
        startWriting();
        break;
    case SilenceDetector::Action::Close:
        m_metrics->silent.add();
        close("the connection is silent");
        break;
    }
}

void ClientConnection::close(const std::string &reason)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_onEvent(Event::Closed, *this);
    m_stream.close();
    m_watchTimer.cancel();
    for (const auto &[id, call] : m_calls) {
        const std::string message = messageName(call->request->type) + " to " + m_address.toString()
                + " failed: " + reason;
        finish(*call,
               Error{call->isSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, message});
    }
    m_unsent.clear();
}

void ClientConnection::finish(Call &call, Reply reply)
{
    if (call.reply)
        return;
    call.reply = std::move(reply);
    call.wake.cancel();
}

} // namespace pistachiofall::detail
