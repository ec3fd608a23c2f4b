#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

namespace pistachiofall::detail {

/// What can be done with the bytes of a body that have arrived.
enum class BodyStep {
    /// Some bytes were taken, or the body has ended.
    Piece,
    NeedsData,
    Malformed,
    /// A chunk header or a trailer without end.
    TooLong,
};

/// The bytes of one direction of a connection and the parser of its present message.
template<bool IsRequest>
struct MessageParser
{
    static constexpr std::size_t MaxPieceBytes = 16 * 1024;

    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>> parser;

    /// Begins the next message. The reader of the body sets its own limit.
    void begin(std::uint32_t maxHeaderBytes)
    {
        parser.emplace();
        parser->header_limit(maxHeaderBytes);
        parser->body_limit(boost::none);
    }

    /// What has arrived and is not parsed yet.
    std::string_view bufferedText() const
    {
        return {static_cast<const char *>(buffer.data().data()), buffer.size()};
    }

    /// Parses what the buffer holds, once.
    boost::system::error_code advance()
    {
        boost::system::error_code error;
        const std::size_t used = parser->put(buffer.data(), error);
        buffer.consume(used);
        return error;
    }

    /// Moves body bytes from the buffer to the piece. An empty piece is the end of the body.
    BodyStep takeBody(std::string &piece)
    {
        namespace http = boost::beast::http;
        piece.assign(std::min(buffer.size(), MaxPieceBytes), '\0');
        auto &body = parser->get().body();
        body.data = piece.data();
        body.size = piece.size();
        while (!parser->is_done() && buffer.size() > 0) {
            const boost::system::error_code error = advance();
            if (error == http::error::need_buffer || error == http::error::need_more)
                break;
            if (error)
                return BodyStep::Malformed;
        }
        piece.resize(piece.size() - body.size);
        if (!piece.empty() || parser->is_done())
            return BodyStep::Piece;
        return buffer.size() >= MaxPieceBytes ? BodyStep::TooLong : BodyStep::NeedsData;
    }
};

} // namespace pistachiofall::detail
