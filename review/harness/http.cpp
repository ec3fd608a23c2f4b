#include "http.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

// Below the ports that the system gives to connections.
constexpr unsigned FirstPort = 20'000;
constexpr unsigned Ports = 12'000;
constexpr unsigned PortStep = 7;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A listening socket at a port of 127.0.0.1, at any one for 0; negative if the port is in use.
int listenAt(std::uint16_t &port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    if (::bind(handle, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(handle, 512) != 0
        || ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        ::close(handle);
        return -1;
    }
    port = ntohs(address.sin_port);
    return handle;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

void serveConnection(const std::shared_ptr<Connection> &connection, const Handler &handler)
{
    Message request;
    while (connection->read(request)) {
        Exchange exchange{request, *connection};
        handler(exchange);
        if (exchange.isLast)
            return;
        request = {};
    }
}

} // namespace

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::query(const std::string &name) const
{
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string part = rest.substr(0, rest.find('&'));
        rest.erase(0, std::min(rest.size(), part.size() + 1));
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    }
    return {};
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_handle >= 0)
        ::close(m_handle);
    m_handle = -1;
}

void Connection::reset()
{
    const linger hard{1, 0};
    ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close();
}

void Connection::setTimeout(std::chrono::milliseconds timeout) const
{
    const timeval value{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    ::setsockopt(m_handle, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

bool Connection::isClosed() const
{
    pollfd descriptor{m_handle, POLLIN | POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0
            && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool Connection::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill()
{
    char bytes[16384];
    const ssize_t received = ::recv(m_handle, bytes, sizeof(bytes), 0);
    if (received <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(received));
    return true;
}

bool Connection::readLine(std::string &line)
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill())
            return false;
        end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBody(std::size_t size, std::string &body)
{
    while (m_buffer.size() < size) {
        if (!fill())
            return false;
    }
    body.append(m_buffer, 0, size);
    m_buffer.erase(0, size);
    return true;
}

bool Connection::readChunks(std::string &body)
{
    for (;;) {
        std::string line;
        if (!readLine(line))
            return false;
        const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
        if (size > 0 && !readBody(size, body))
            return false;
        if (!readLine(line))
            return false;
        if (size == 0)
            return true;
    }
}

bool Connection::read(Message &message)
{
    std::string line;
    if (!readLine(line))
        return false;
    if (line.starts_with("HTTP/")) {
        message.status = std::atoi(line.c_str() + line.find(' '));
    } else {
        const auto first = line.find(' ');
        message.method = line.substr(0, first);
        message.target = line.substr(first + 1, line.rfind(' ') - first - 1);
    }
    while (readLine(line) && !line.empty()) {
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string() : line.substr(value);
    }
    if (!line.empty())
        return false;
    if (message.header("transfer-encoding") == "chunked")
        return readChunks(message.body);
    const std::string length = message.header("content-length");
    return readBody(std::strtoull(length.c_str(), nullptr, 10), message.body);
}

void Exchange::respond(int status, const std::string &body,
                       const std::map<std::string, std::string> &headers)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!connection.write(head + body))
        isLast = true;
}

Listener::Listener(Handler handler)
    : m_handle(listenAt(m_port))
{
    std::thread([listener = m_handle, handler = std::move(handler)] {
        for (;;) {
            const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                return;
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const auto connection = std::make_shared<Connection>(handle);
            std::thread([connection, handler] { serveConnection(connection, handler); }).detach();
        }
    }).detach();
}

void Listener::stop()
{
    ::shutdown(m_handle, SHUT_RDWR);
    ::close(m_handle);
}

std::uint16_t freePort()
{
    static std::atomic<unsigned> next = std::random_device{}();
    for (;;) {
        auto port = static_cast<std::uint16_t>(FirstPort + (next += PortStep) % Ports);
        const int handle = listenAt(port);
        if (handle < 0)
            continue;
        ::close(handle);
        return port;
    }
}

Message call(std::uint16_t port, const std::string &method, const std::string &target,
             const std::map<std::string, std::string> &headers, const std::string &body,
             std::chrono::milliseconds timeout)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connection connection(handle);
    connection.setTimeout(timeout);
    Message answer;
    const sockaddr_in address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        return answer;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!connection.write(text) || !connection.read(answer))
        return {};
    return answer;
}

} // namespace review
