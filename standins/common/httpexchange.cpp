#include "common/httpexchange.h"

#include <optional>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A batch upload through a stand-in may hold 520,000 items.
constexpr std::uint64_t MaxBodyBytes = 1ULL << 30U;

} // namespace

struct HttpExchange::Data
{
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    bool mustClose = false;
};

HttpExchange::HttpExchange(asio::ip::tcp::socket &socket)
    : m_socket(socket)
    , m_data(std::make_unique<Data>())
{ }

HttpExchange::~HttpExchange() = default;

asio::awaitable<bool> HttpExchange::read()
{
    m_data->parser.emplace();
    m_data->parser->body_limit(MaxBodyBytes);
    boost::system::error_code error;
    co_await http::async_read(m_socket, m_data->buffer, *m_data->parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    const auto target = std::string(m_data->parser->get().target());
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        co_return false;
    m_path = std::string(url->encoded_path());
    m_query.clear();
    for (const auto &parameter : url->params())
        m_query[std::string(parameter.key)] = std::string(parameter.value);
    co_return true;
}

std::string_view HttpExchange::method() const
{
    const auto method = m_data->parser->get().method_string();
    return {method.data(), method.size()};
}

std::string_view HttpExchange::target() const
{
    const auto target = m_data->parser->get().target();
    return {target.data(), target.size()};
}

std::string HttpExchange::query(const std::string &name, const std::string &fallback) const
{
    const auto found = m_query.find(name);
    return found == m_query.end() ? fallback : found->second;
}

std::string HttpExchange::header(std::string_view name) const
{
    return std::string(m_data->parser->get()[boost::beast::string_view(name.data(), name.size())]);
}

std::string HttpExchange::headerText() const
{
    std::ostringstream out;
    for (const auto &field : m_data->parser->get())
        out << field.name_string() << ": " << field.value() << '\n';
    return out.str();
}

const std::string &HttpExchange::body() const
{
    return m_data->parser->get().body();
}

asio::awaitable<void> HttpExchange::respond(unsigned status, std::string contentType,
                                            std::string body)
{
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, contentType);
    response.keep_alive(isKeepAlive());
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(m_socket, response,
                               asio::redirect_error(asio::use_awaitable, error));
    m_data->mustClose = m_data->mustClose || error;
}

asio::awaitable<void> HttpExchange::startStream(unsigned status, std::string contentType)
{
    http::response<http::empty_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, contentType);
    response.keep_alive(isKeepAlive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    co_await http::async_write_header(m_socket, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    m_data->mustClose = m_data->mustClose || error;
}

asio::awaitable<bool> HttpExchange::writeChunk(std::string data)
{
    boost::system::error_code error;
    const auto chunk = http::make_chunk(asio::buffer(data));
    co_await asio::async_write(m_socket, chunk, asio::redirect_error(asio::use_awaitable, error));
    m_data->mustClose = m_data->mustClose || error;
    co_return !error;
}

asio::awaitable<void> HttpExchange::finishStream()
{
    boost::system::error_code error;
    const auto chunk = http::make_chunk_last();
    co_await asio::async_write(m_socket, chunk, asio::redirect_error(asio::use_awaitable, error));
    m_data->mustClose = m_data->mustClose || error;
}

void HttpExchange::drop()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_data->mustClose = true;
}

bool HttpExchange::isKeepAlive() const
{
    return !m_data->mustClose && m_data->parser->get().keep_alive();
}

bool HttpExchange::isPeerClosed()
{
    if (!m_socket.is_open())
        return true;
    boost::system::error_code error;
    char byte = 0;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

} // namespace pistachiofall::standins
