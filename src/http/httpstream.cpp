#include "http/httpstream.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// What closeGently() reads at most; a caller that keeps sending gets a reset after it.
constexpr std::size_t MaxDiscardedBytes = std::size_t{1} << 20U;

void consume(HttpStream::Buffers &buffers, std::size_t bytes)
{
    for (asio::const_buffer &buffer : buffers) {
        const std::size_t taken = std::min(bytes, buffer.size());
        buffer += taken;
        bytes -= taken;
    }
}

// Whether the connection has data, its end or an error to read; peeked holds which.
bool isReadable(int handle, std::int64_t &peeked)
{
    char byte = 0;
    peeked = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace

std::shared_ptr<HttpStream> HttpStream::create(tcp::socket socket)
{
    return std::shared_ptr<HttpStream>(new HttpStream(std::move(socket)));
}

HttpStream::HttpStream(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{ }

// Starts one operation under the lock and waits for it. The slot holds its deadline meanwhile.
template<typename Start>
asio::awaitable<IoOutcome> HttpStream::run(TimePoint &slot, TimePoint deadline, Start start)
{
    IoOutcome outcome;
    auto initiate = [this, &slot, deadline, &start](auto handler) {
        const std::scoped_lock lock(m_mutex);
        m_isTimedOut = false;
        slot = deadline;
        armTimer();
        start(std::move(handler));
    };
    auto token = asio::redirect_error(asio::use_awaitable, outcome.error);
    outcome.bytes = co_await asio::async_initiate<decltype(token), void(error_code, std::size_t)>(
            std::move(initiate), token);
    const std::scoped_lock lock(m_mutex);
    slot = NoDeadline;
    if (outcome.error == asio::error::operation_aborted && m_isTimedOut)
        outcome.error = asio::error::timed_out;
    co_return outcome;
}

asio::awaitable<error_code> HttpStream::connect(tcp::endpoint address, TimePoint deadline)
{
    auto start = [this, address](auto handler) {
        const auto executor = asio::get_associated_executor(handler, m_socket.get_executor());
        auto finish = [handler = std::move(handler)](error_code error) mutable {
            std::move(handler)(error, 0);
        };
        // async_connect would open a closed socket again.
        if (m_isClosed) {
            asio::post(executor, [finish = std::move(finish)]() mutable {
                finish(asio::error::operation_aborted);
            });
            return;
        }
        m_socket.async_connect(address, asio::bind_executor(executor, std::move(finish)));
    };
    const IoOutcome outcome = co_await run(m_writeDeadline, deadline, std::move(start));
    if (!outcome.error) {
        const std::scoped_lock lock(m_mutex);
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }
    co_return outcome.error;
}

asio::awaitable<IoOutcome> HttpStream::readSome(asio::mutable_buffer buffer, TimePoint deadline)
{
    auto start = [this, buffer](auto handler) {
        m_socket.async_read_some(buffer, std::move(handler));
    };
    co_return co_await run(m_readDeadline, deadline, std::move(start));
}

asio::awaitable<IoOutcome> HttpStream::write(Buffers buffers, ProgressWindow &window)
{
    IoOutcome total;
    while (!total.error && asio::buffer_size(buffers) > 0) {
        const TimePoint begin = std::chrono::steady_clock::now();
        auto start = [this, &buffers](auto handler) {
            m_socket.async_write_some(buffers, std::move(handler));
        };
        const IoOutcome step =
                co_await run(m_writeDeadline, begin + window.left(), std::move(start));
        window.note(step.bytes, std::chrono::steady_clock::now() - begin);
        consume(buffers, step.bytes);
        total.bytes += step.bytes;
        total.error = step.error;
    }
    co_return total;
}

void HttpStream::watchForClose(std::function<void()> callback)
{
    const std::scoped_lock lock(m_mutex);
    m_isWatching = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        [weak = weak_from_this(), watch = ++m_watch,
                         callback = std::move(callback)](error_code) {
                            if (const auto self = weak.lock())
                                self->continueWatch(watch, callback);
                        });
}

void HttpStream::continueWatch(std::uint64_t watch, const std::function<void()> &callback)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (watch != m_watch)
            return;
        std::int64_t peeked = 0;
        const bool isReady = m_socket.is_open() && isReadable(m_socket.native_handle(), peeked);
        if (!std::exchange(m_isWatching, false) || !isReady || peeked > 0)
            return;
    }
    callback();
}

void HttpStream::stopWatching()
{
    const std::scoped_lock lock(m_mutex);
    if (!std::exchange(m_isWatching, false))
        return;
    error_code ignored;
    m_socket.cancel(ignored);
}

bool HttpStream::isQuiet()
{
    const std::scoped_lock lock(m_mutex);
    std::int64_t peeked = 0;
    return m_socket.is_open() && !isReadable(m_socket.native_handle(), peeked);
}

asio::awaitable<void> HttpStream::closeGently(std::chrono::milliseconds timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    {
        const std::scoped_lock lock(m_mutex);
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    std::array<char, 4096> discarded{};
    std::size_t total = 0;
    while (total < MaxDiscardedBytes) {
        const IoOutcome outcome = co_await readSome(asio::buffer(discarded), deadline);
        if (outcome.error)
            break;
        total += outcome.bytes;
    }
    close();
}

void HttpStream::close()
{
    const std::scoped_lock lock(m_mutex);
    closeLocked();
}

void HttpStream::reset()
{
    const std::scoped_lock lock(m_mutex);
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    closeLocked();
}

void HttpStream::closeLocked()
{
    error_code ignored;
    m_isClosed = true;
    m_socket.close(ignored);
    m_timer.cancel();
}

// The timer stays at an earlier expiry and looks again when it fires: moving it with each operation
// would cost more than the operation.
void HttpStream::armTimer()
{
    const TimePoint next = std::min(m_readDeadline, m_writeDeadline);
    if (next == NoDeadline || m_timerExpiry <= next)
        return;
    m_timerExpiry = next;
    m_timer.expires_at(next);
    m_timer.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->onTimer();
    });
}

void HttpStream::onTimer()
{
    const std::scoped_lock lock(m_mutex);
    m_timerExpiry = NoDeadline;
    if (std::min(m_readDeadline, m_writeDeadline) <= std::chrono::steady_clock::now()) {
        m_isTimedOut = true;
        error_code ignored;
        m_socket.cancel(ignored);
        return;
    }
    armTimer();
}

} // namespace pistachiofall::detail
