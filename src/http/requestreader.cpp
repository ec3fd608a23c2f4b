#include "http/requestreader.h"

#include "http/messageparser.h"

#include <utility>

namespace pistachiofall::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t HeadReadBytes = 4 * 1024;

std::string toString(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

template<typename Fields>
HttpHeaders copyHeaders(const Fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields)
        headers.add(toString(field.name_string()), toString(field.value()));
    return headers;
}

} // namespace

struct RequestReader::Parser : MessageParser<true>
{
    void skipEmptyLines()
    {
        while (buffer.size() > 0) {
            const char first = *static_cast<const char *>(buffer.data().data());
            if (first != '\r' && first != '\n')
                return;
            buffer.consume(1);
        }
    }
};

RequestReader::RequestReader(std::shared_ptr<HttpStream> stream, const ListenerSettings &settings)
    : m_stream(std::move(stream))
    , m_settings(settings)
    , m_parser(std::make_unique<Parser>())
    , m_bodyWindow(settings.bodyTimeout, settings.minProgressBytes)
{ }

RequestReader::~RequestReader() = default;

asio::awaitable<HeadOutcome> RequestReader::awaitFirstByte(std::chrono::milliseconds timeout)
{
    auto &buffer = m_parser->buffer;
    const auto deadline = steady_clock::now() + timeout;
    m_parser->skipEmptyLines();
    if (buffer.size() == 0 && buffer.capacity() > HeadReadBytes)
        buffer.shrink_to_fit();
    while (buffer.size() == 0) {
        const auto space = buffer.prepare(HeadReadBytes);
        const IoOutcome outcome = co_await m_stream->readSome(space, deadline);
        if (outcome.error == asio::error::timed_out)
            co_return HeadOutcome::Idle;
        if (outcome.error)
            co_return HeadOutcome::Closed;
        buffer.commit(outcome.bytes);
        m_parser->skipEmptyLines();
    }
    co_return HeadOutcome::Ready;
}

asio::awaitable<HeadOutcome> RequestReader::parseHead(HttpStream::TimePoint deadline)
{
    auto &buffer = m_parser->buffer;
    while (!m_parser->parser->is_header_done()) {
        const error_code error = m_parser->advance();
        if (error == http::error::header_limit)
            co_return HeadOutcome::TooLong;
        if (error && error != http::error::need_more)
            co_return HeadOutcome::Malformed;
        if (m_parser->parser->is_header_done())
            break;
        if (!error)
            continue;
        const auto space = buffer.prepare(HeadReadBytes);
        const IoOutcome outcome = co_await m_stream->readSome(space, deadline);
        if (outcome.error == asio::error::timed_out)
            co_return HeadOutcome::TimedOut;
        if (outcome.error)
            co_return HeadOutcome::Truncated;
        buffer.commit(outcome.bytes);
    }
    co_return takeHead();
}

asio::awaitable<HeadOutcome> RequestReader::readHead(std::chrono::milliseconds firstByteTimeout,
                                                     std::function<void()> onFirstByte)
{
    const HeadOutcome first = co_await awaitFirstByte(firstByteTimeout);
    if (first != HeadOutcome::Ready)
        co_return first;
    const auto deadline = steady_clock::now() + m_settings.headerTimeout;
    onFirstByte();
    m_parser->begin(m_settings.maxHeaderBytes);
    m_bodyWindow = ProgressWindow(m_settings.bodyTimeout, m_settings.minProgressBytes);
    co_return co_await parseHead(deadline);
}

// Copies the header out of the parser. Refuses what RFC 9112 lets other servers read differently:
// a missing or repeated Host, and a transfer coding that does not end with "chunked".
HeadOutcome RequestReader::takeHead()
{
    const auto &parser = *m_parser->parser;
    const auto &message = parser.get();
    const auto target = splitTarget({message.target().data(), message.target().size()});
    const bool hasCoding = message.count(http::field::transfer_encoding) > 0;
    m_head = {};
    m_head.isHttp11 = message.version() == 11;
    if (!target || (hasCoding && (!parser.chunked() || !m_head.isHttp11)))
        return HeadOutcome::Malformed;
    const std::size_t hosts = message.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && m_head.isHttp11))
        return HeadOutcome::Malformed;
    m_head.method = toString(message.method_string());
    m_head.path = target->path;
    m_head.query = target->query;
    m_head.headers = copyHeaders(message);
    m_head.keepsAlive = m_head.isHttp11 && message.keep_alive();
    m_head.expectsContinue = m_head.isHttp11 && !parser.is_done()
            && equalsIgnoringCase(m_head.headers.get("Expect"), "100-continue");
    return HeadOutcome::Ready;
}

bool RequestReader::isBodyComplete() const
{
    return m_parser->parser && m_parser->parser->is_done();
}

std::optional<std::uint64_t> RequestReader::bodyLength() const
{
    const auto length = m_parser->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::optional<std::uint64_t> RequestReader::bodyBytesLeft() const
{
    if (isBodyComplete())
        return 0;
    const auto left = m_parser->parser->content_length_remaining();
    return left ? std::optional<std::uint64_t>(*left) : std::nullopt;
}

asio::awaitable<Result<Done>> RequestReader::fillBuffer()
{
    auto &buffer = m_parser->buffer;
    const auto begin = steady_clock::now();
    const auto space = buffer.prepare(Parser::MaxPieceBytes);
    const IoOutcome outcome = co_await m_stream->readSome(space, begin + m_bodyWindow.left());
    m_bodyWindow.note(outcome.bytes, steady_clock::now() - begin);
    buffer.commit(outcome.bytes);
    if (outcome.error == asio::error::timed_out)
        co_return Error{ErrorCode::TimedOut, "the caller sends the body too slowly"};
    if (outcome.error)
        co_return Error{ErrorCode::Cancelled, "the caller closed the connection within the body"};
    co_return Done{};
}

asio::awaitable<Result<std::string>> RequestReader::readBodySome()
{
    std::string piece;
    while (!isBodyComplete()) {
        switch (m_parser->takeBody(piece)) {
        case BodyStep::Piece:
            co_return piece;
        case BodyStep::Malformed:
            co_return Error{ErrorCode::InvalidArgument, "the framing of the body is malformed"};
        case BodyStep::TooLong:
            co_return Error{ErrorCode::TooLarge, "a chunk header or trailer is too long"};
        case BodyStep::NeedsData:
            break;
        }
        const Result<Done> filled = co_await fillBuffer();
        if (!isOk(filled))
            co_return errorOf(filled);
    }
    co_return std::string{};
}

} // namespace pistachiofall::detail
