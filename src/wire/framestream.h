#pragma once

#include "wire/framedecoder.h"
#include "wire/wiremetrics.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pistachiofall::detail {

/// A TCP connection that carries frames. Used on one strand, with at most one read and one write in
/// progress.
class FrameStream
{
public:
    FrameStream(boost::asio::ip::tcp::socket socket, std::shared_ptr<WireMetrics> metrics);

    boost::asio::ip::tcp::socket &socket() { return m_socket; }

    /// The next frame; empty once the connection is closed, broken, or has sent a faulty frame.
    boost::asio::awaitable<std::optional<FrameDecoder::Frame>> read();

    /// Writes frames that are already encoded and counted. False when the connection broke.
    boost::asio::awaitable<bool> write(std::string bytes);

    /// Ends reads and writes in progress.
    void close();

    std::chrono::steady_clock::time_point lastReceived() const { return m_lastReceived; }
    bool isInsideFrame() const { return m_decoder.isInsideFrame(); }

    /// Whether the operating system holds bytes that were not read yet.
    bool hasUnreadBytes() const;

    /// When the write in progress began, empty when there is none.
    std::optional<std::chrono::steady_clock::time_point> writingSince() const
    {
        return m_writingSince;
    }

private:
    // Instances hold hundreds of connections; frames have about a hundred bytes.
    static constexpr std::size_t ReadBytes = 4096;

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<WireMetrics> m_metrics;
    FrameDecoder m_decoder;
    std::array<std::uint8_t, ReadBytes> m_bytes{};
    std::chrono::steady_clock::time_point m_lastReceived = std::chrono::steady_clock::now();
    std::optional<std::chrono::steady_clock::time_point> m_writingSince;
};

} // namespace pistachiofall::detail
