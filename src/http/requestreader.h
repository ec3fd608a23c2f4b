#pragma once

#include "base/result.h"
#include "http/httpstream.h"
#include "http/listenersettings.h"
#include "http/requesthead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::detail {

/// How the wait for the header of a request ended.
enum class HeadOutcome {
    Ready,
    /// The caller closed the connection between two requests.
    Closed,
    /// No byte of a request came within the idle timeout.
    Idle,
    /// A request began but its header was not complete in time.
    TimedOut,
    /// The caller closed the connection within a header.
    Truncated,
    TooLong,
    Malformed,
};

/// Reads the requests of one connection, one after the other, with a bounded buffer.
class RequestReader
{
public:
    RequestReader(std::shared_ptr<HttpStream> stream, const ListenerSettings &settings);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Waits for a request for at most the time and reads its header. Calls back when its first
    /// byte is there.
    boost::asio::awaitable<HeadOutcome> readHead(std::chrono::milliseconds firstByteTimeout,
                                                 std::function<void()> onFirstByte);

    /// The header that readHead() read last.
    const RequestHead &head() const { return m_head; }

    bool isBodyComplete() const;
    /// The length of the body if the caller announced it.
    std::optional<std::uint64_t> bodyLength() const;
    /// What is left of the body if the caller announced its length.
    std::optional<std::uint64_t> bodyBytesLeft() const;

    /// Reads at most 16 KB of the body; an empty piece is its end. TimedOut when the caller sends
    /// too slowly, Cancelled when it has gone, InvalidArgument when it breaks the protocol.
    boost::asio::awaitable<Result<std::string>> readBodySome();

private:
    struct Parser;

    boost::asio::awaitable<HeadOutcome> awaitFirstByte(std::chrono::milliseconds timeout);
    boost::asio::awaitable<HeadOutcome> parseHead(HttpStream::TimePoint deadline);
    boost::asio::awaitable<Result<Done>> fillBuffer();
    HeadOutcome takeHead();

    std::shared_ptr<HttpStream> m_stream;
    const ListenerSettings &m_settings;
    std::unique_ptr<Parser> m_parser;
    RequestHead m_head;
    ProgressWindow m_bodyWindow;
};

} // namespace pistachiofall::detail
