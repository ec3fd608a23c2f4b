#include "common/proxychannel.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
// A slow receiver must slow its sender down through the proxy as well.
constexpr std::size_t MaxQueuedBytes = 1U << 20U;

} // namespace

ProxyChannel::ProxyChannel(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to,
                           RouteState &state, bool isToTarget, std::uint64_t connectionNumber)
    : m_from(from)
    , m_to(to)
    , m_state(state)
    , m_isToTarget(isToTarget)
    , m_connectionNumber(connectionNumber)
    , m_filled(from.get_executor())
    , m_drained(from.get_executor())
{ }

asio::awaitable<void> ProxyChannel::waitUntil(asio::steady_timer &timer, TimePoint time)
{
    timer.expires_at(time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> ProxyChannel::read()
{
    std::string buffer(ReadBytes, '\0');
    while (!m_isAborted) {
        boost::system::error_code error;
        const std::size_t size = co_await m_from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            push({}, error == asio::error::eof ? End::Closed : End::Reset);
            co_return;
        }
        if (m_isSilent) {
            m_state.bytesDiscarded.add(size);
            continue;
        }
        push(buffer.substr(0, size), End::None);
        while (m_queuedBytes > MaxQueuedBytes && !m_isAborted)
            co_await waitUntil(m_drained, TimePoint::max());
    }
}

void ProxyChannel::push(std::string data, End end)
{
    m_queuedBytes += data.size();
    m_items.push_back({nextDue(), std::move(data), end});
    m_filled.cancel();
}

// The order within a connection is kept, so data never overtakes what came before.
ProxyChannel::TimePoint ProxyChannel::nextDue()
{
    const ProxyFault fault = m_state.fault();
    TimePoint due = std::chrono::steady_clock::now();
    const bool isAffected = m_isToTarget ? fault.affectsToTarget : fault.affectsToClient;
    if (fault.mode == ProxyFault::Mode::Delay && isAffected) {
        const std::uint64_t seed = fault.seed * 2 + (m_isToTarget ? 1 : 0);
        if (m_seed != seed) {
            std::seed_seq sequence{seed, m_connectionNumber};
            m_random.seed(sequence);
            m_seed = seed;
        }
        std::uniform_int_distribution<std::int64_t> jitter(0, fault.jitter.count());
        due += fault.delay + std::chrono::milliseconds(jitter(m_random));
    }
    m_lastDue = std::max(m_lastDue, due);
    return m_lastDue;
}

asio::awaitable<void> ProxyChannel::waitForFront()
{
    while (m_items.empty() && !m_isAborted)
        co_await waitUntil(m_filled, TimePoint::max());
    if (m_isAborted)
        co_return;
    asio::steady_timer timer(m_from.get_executor());
    if (m_items.front().due > std::chrono::steady_clock::now())
        co_await waitUntil(timer, m_items.front().due);
}

asio::awaitable<ProxyChannel::End> ProxyChannel::write()
{
    for (;;) {
        co_await waitForFront();
        if (m_isAborted)
            co_return End::None;
        Item item = std::move(m_items.front());
        m_items.pop_front();
        m_queuedBytes -= item.data.size();
        m_drained.cancel();
        if (item.end != End::None)
            co_return m_isSilent ? End::None : item.end;
        if (m_isSilent) {
            m_state.bytesDiscarded.add(item.data.size());
            continue;
        }
        boost::system::error_code error;
        co_await asio::async_write(m_to, asio::buffer(item.data),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return m_isSilent ? End::None : End::Reset;
        (m_isToTarget ? m_state.bytesToTarget : m_state.bytesToClient).add(item.data.size());
    }
}

void ProxyChannel::abort()
{
    m_isAborted = true;
    m_filled.cancel();
    m_drained.cancel();
}

} // namespace pistachiofall::standins
