#include "http/answerreader.h"

#include "http/answercheck.h"
#include "http/messageparser.h"

#include <utility>

namespace pistachiofall::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 32 * 1024;
// An endpoint that sends more of them is faulty, and may do so without an end.
constexpr int MaxInterimAnswers = 16;
constexpr unsigned MinFinalStatus = 200;
constexpr unsigned SwitchingProtocols = 101;
// A version as the parser gives it.
constexpr unsigned Http11 = 11;

Error readError(const boost::system::error_code &error)
{
    if (error == asio::error::timed_out)
        return {ErrorCode::TimedOut, "nothing was sent in time"};
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
        return {ErrorCode::Cancelled, "the call was cancelled"};
    return {ErrorCode::OutcomeUnknown,
            "the connection ended before the answer was complete: " + error.message()};
}

} // namespace

struct AnswerReader::Parser : MessageParser<false>
{ };

AnswerReader::AnswerReader(ByteSource source, std::string_view method, bool acceptsEndByClose)
    : m_source(std::move(source))
    , m_parser(std::make_unique<Parser>())
    , m_isHeadRequest(method == "HEAD")
    , m_acceptsEndByClose(acceptsEndByClose)
{
    beginMessage();
}

AnswerReader::~AnswerReader() = default;

void AnswerReader::beginMessage()
{
    m_parser->begin(MaxHeaderBytes);
    m_parser->parser->skip(m_isHeadRequest);
}

bool AnswerReader::endsByClose() const
{
    return m_acceptsEndByClose && m_parser->parser->is_header_done() && m_parser->parser->need_eof()
            && m_parser->buffer.size() == 0;
}

asio::awaitable<Result<Done>> AnswerReader::fillBuffer(TimePoint deadline)
{
    const auto space = m_parser->buffer.prepare(Parser::MaxPieceBytes);
    const IoOutcome outcome = co_await readSome(m_source, space, deadline);
    if (outcome.error == asio::error::eof && endsByClose()) {
        boost::system::error_code error;
        m_parser->parser->put_eof(error);
        if (!error)
            co_return Done{};
    }
    if (outcome.error)
        co_return readError(outcome.error);
    m_parser->buffer.commit(outcome.bytes);
    m_hasAnyByte = true;
    co_return Done{};
}

asio::awaitable<Result<Done>> AnswerReader::parseHead(TimePoint deadline)
{
    while (!m_parser->parser->is_header_done()) {
        // The parser would join such a line to the field before it.
        if (hasContinuedLine(m_parser->bufferedText()))
            co_return Error{ErrorCode::ProtocolError,
                            "a line of the header of the answer begins with a blank"};
        const boost::system::error_code error = m_parser->advance();
        if (error && error != http::error::need_more)
            co_return Error{ErrorCode::ProtocolError,
                            "the header of the answer is malformed: " + error.message()};
        if (!error)
            continue;
        const Result<Done> filled = co_await fillBuffer(deadline);
        if (!isOk(filled))
            co_return errorOf(filled);
    }
    co_return Done{};
}

// Copies the head of a final answer out of the parser, if the end of its body can be known.
Result<AnswerHead> AnswerReader::takeHead() const
{
    const auto &parser = *m_parser->parser;
    AnswerHead head;
    head.status = parser.get().result_int();
    if (head.status == SwitchingProtocols)
        return Error{ErrorCode::ProtocolError, "the endpoint switched to another protocol"};
    for (const auto &field : parser.get()) {
        const auto name = field.name_string();
        const auto value = field.value();
        head.headers.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    const Result<Done> codings = checkCodings(head.headers, parser.get().version() == Http11);
    if (!isOk(codings))
        return errorOf(codings);
    // The end of such an answer is the end of the connection, also when that broke.
    if (!m_acceptsEndByClose && !parser.is_done() && parser.need_eof())
        return Error{ErrorCode::ProtocolError, "the answer has neither a length nor chunks"};
    return head;
}

asio::awaitable<Result<AnswerHead>> AnswerReader::readHead(TimePoint deadline)
{
    int interimAnswers = 0;
    for (;;) {
        const Result<Done> parsed = co_await parseHead(deadline);
        if (!isOk(parsed))
            co_return errorOf(parsed);
        const unsigned status = m_parser->parser->get().result_int();
        const Result<Done> checked = checkStatus(status);
        if (!isOk(checked))
            co_return errorOf(checked);
        if (status >= MinFinalStatus || status == SwitchingProtocols)
            co_return takeHead();
        if (++interimAnswers > MaxInterimAnswers)
            co_return Error{ErrorCode::ProtocolError,
                            "more than " + std::to_string(MaxInterimAnswers) + " interim answers"};
        beginMessage();
    }
}

asio::awaitable<Result<std::string>> AnswerReader::readBodySome(TimePoint deadline)
{
    std::string piece;
    while (!isComplete()) {
        switch (m_parser->takeBody(piece)) {
        case BodyStep::Piece:
            co_return piece;
        case BodyStep::Malformed:
        case BodyStep::TooLong:
            co_return Error{ErrorCode::ProtocolError, "the framing of the answer is malformed"};
        case BodyStep::NeedsData:
            break;
        }
        const Result<Done> filled = co_await fillBuffer(deadline);
        if (!isOk(filled))
            co_return errorOf(filled);
    }
    co_return std::string{};
}

bool AnswerReader::isComplete() const
{
    return m_parser->parser->is_done();
}

bool AnswerReader::isReusable() const
{
    return isComplete() && m_parser->parser->keep_alive() && m_parser->buffer.size() == 0;
}

} // namespace pistachiofall::detail
