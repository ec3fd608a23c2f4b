#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace review {

/// A request or an answer as it was read from a connection.
struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string header(const std::string &name) const;
    std::string query(const std::string &name) const;
};

/// A connected socket with the bytes that were read too far.
class Connection
{
public:
    explicit Connection(int handle)
        : m_handle(handle)
    { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Reads one whole message; false at the end of the connection, after an error or a timeout.
    bool read(Message &message);
    bool write(std::string_view bytes) const;
    /// Whether the other side has closed the connection.
    bool isClosed() const;
    void setTimeout(std::chrono::milliseconds timeout) const;
    /// Closes the connection with a reset.
    void reset();
    void close();

private:
    bool fill();
    bool readLine(std::string &line);
    bool readBody(std::size_t size, std::string &body);
    bool readChunks(std::string &body);

    int m_handle;
    std::string m_buffer;
};

/// One request at a server, which the handler answers.
struct Exchange
{
    const Message &request;
    Connection &connection;
    /// Set by a handler after which the connection can not be used again.
    bool isLast = false;

    void respond(int status, const std::string &body,
                 const std::map<std::string, std::string> &headers = {});
};

using Handler = std::function<void(Exchange &exchange)>;

/// Listens on a free port of 127.0.0.1 and serves each connection in a thread.
class Listener
{
public:
    explicit Listener(Handler handler);
    std::uint16_t port() const { return m_port; }
    /// Refuses further connections.
    void stop();

private:
    std::uint16_t m_port = 0;
    int m_handle = -1;
};

/// A port of 127.0.0.1 that is free at present.
std::uint16_t freePort();

/// Sends one request on a new connection. The status of the answer is 0 if there was none.
Message call(std::uint16_t port, const std::string &method, const std::string &target,
             const std::map<std::string, std::string> &headers, const std::string &body,
             std::chrono::milliseconds timeout);

} // namespace review
