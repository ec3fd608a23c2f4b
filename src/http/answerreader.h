#pragma once

#include "base/result.h"
#include "http/answerhead.h"
#include "http/bytesource.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::detail {

/// Reads one answer from a connection: to an endpoint, the store or another instance. All answers
/// in HTTP are read here, so that one place decides what is an answer and what is not. Errors:
/// TimedOut, OutcomeUnknown when the connection ends first, ProtocolError, Cancelled when this side
/// closed the connection. After an error the connection must not be used again.
class AnswerReader
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Without the last argument, an answer with neither a length nor chunks is a ProtocolError.
    AnswerReader(ByteSource source, std::string_view method, bool acceptsEndByClose = false);
    ~AnswerReader();
    AnswerReader(const AnswerReader &) = delete;
    AnswerReader &operator=(const AnswerReader &) = delete;

    /// Reads the status line and the header, and skips interim answers such as 100.
    boost::asio::awaitable<Result<AnswerHead>> readHead(TimePoint deadline);

    /// Reads at most 16 KB of the body; an empty piece is its end, checked against its announced
    /// length or its last chunk.
    boost::asio::awaitable<Result<std::string>> readBodySome(TimePoint deadline);

    bool hasAnyByte() const { return m_hasAnyByte; }
    bool isComplete() const;
    /// Whether the connection can carry another request after the complete answer.
    bool isReusable() const;

private:
    struct Parser;

    boost::asio::awaitable<Result<Done>> fillBuffer(TimePoint deadline);
    boost::asio::awaitable<Result<Done>> parseHead(TimePoint deadline);
    Result<AnswerHead> takeHead() const;
    void beginMessage();
    /// Whether the end of the connection is now the end of the answer.
    bool endsByClose() const;

    ByteSource m_source;
    std::unique_ptr<Parser> m_parser;
    bool m_isHeadRequest;
    bool m_acceptsEndByClose;
    bool m_hasAnyByte = false;
};

} // namespace pistachiofall::detail
