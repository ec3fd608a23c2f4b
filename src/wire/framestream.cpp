#include "wire/framestream.h"

#include <span>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pistachiofall::detail {

namespace asio = boost::asio;
using std::chrono::steady_clock;

FrameStream::FrameStream(asio::ip::tcp::socket socket, std::shared_ptr<WireMetrics> metrics)
    : m_socket(std::move(socket))
    , m_metrics(std::move(metrics))
{ }

asio::awaitable<std::optional<FrameDecoder::Frame>> FrameStream::read()
{
    for (;;) {
        auto next = m_decoder.next();
        if (auto *frame = std::get_if<FrameDecoder::Frame>(&next)) {
            m_metrics->addReceived(frame->envelope.body.type, frame->size);
            co_return std::move(*frame);
        }
        if (const auto *fault = std::get_if<FrameFault>(&next)) {
            m_metrics->addFault(*fault);
            co_return std::nullopt;
        }
        boost::system::error_code error;
        const std::size_t size = co_await m_socket.async_read_some(
                asio::buffer(m_bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (m_decoder.isInsideFrame() && error != asio::error::operation_aborted)
                m_metrics->addFault(FrameFault::Malformed);
            co_return std::nullopt;
        }
        m_lastReceived = steady_clock::now();
        m_decoder.append(std::span<const std::uint8_t>(m_bytes).first(size));
    }
}

asio::awaitable<bool> FrameStream::write(std::string bytes)
{
    m_writingSince = steady_clock::now();
    boost::system::error_code error;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    m_writingSince.reset();
    co_return !error;
}

void FrameStream::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

bool FrameStream::hasUnreadBytes() const
{
    boost::system::error_code error;
    return m_socket.available(error) > 0 && !error;
}

} // namespace pistachiofall::detail
