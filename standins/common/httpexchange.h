#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pistachiofall::standins {

/// One request on a stand-in's HTTP server and the way to answer it.
class HttpExchange
{
public:
    explicit HttpExchange(boost::asio::ip::tcp::socket &socket);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Reads the next request of the connection; false when the peer closed it or broke HTTP.
    boost::asio::awaitable<bool> read();

    std::string_view method() const;
    /// Path and query as they were sent.
    std::string_view target() const;
    /// The path without the query, not decoded.
    const std::string &path() const { return m_path; }
    /// A decoded query parameter, or the fallback when it is missing.
    std::string query(const std::string &name, const std::string &fallback = {}) const;
    /// All decoded query parameters.
    const std::map<std::string, std::string> &parameters() const { return m_query; }
    /// A header's value, empty when it is missing.
    std::string header(std::string_view name) const;
    /// All headers as "name: value" lines.
    std::string headerText() const;
    const std::string &body() const;

    boost::asio::awaitable<void> respond(unsigned status, std::string contentType,
                                         std::string body);

    /// Starts an answer of unknown length; writeChunk and finishStream follow.
    boost::asio::awaitable<void> startStream(unsigned status, std::string contentType);
    /// False when the peer has closed the connection.
    boost::asio::awaitable<bool> writeChunk(std::string data);
    boost::asio::awaitable<void> finishStream();

    /// Resets the connection without an answer.
    void drop();

    /// Whether the connection can carry another request.
    bool isKeepAlive() const;
    /// Whether the peer has closed its side; does not consume data.
    bool isPeerClosed();

    boost::asio::ip::tcp::socket &socket() { return m_socket; }

private:
    struct Data;
    boost::asio::ip::tcp::socket &m_socket;
    std::unique_ptr<Data> m_data;
    std::string m_path;
    std::map<std::string, std::string> m_query;
};

} // namespace pistachiofall::standins
