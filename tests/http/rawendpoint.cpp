#include "http/rawendpoint.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <variant>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr std::chrono::milliseconds PieceGap{20};
constexpr std::string_view LengthField = "Content-Length: ";
constexpr std::string_view IdPlace = "@id@";

std::string fieldOf(const std::string &request, const std::string &name)
{
    const auto found = request.find("\n" + name);
    if (found == std::string::npos)
        return {};
    const auto begin = found + 1 + name.size();
    return request.substr(begin, request.find('\r', begin) - begin);
}

std::string withRequestId(std::string text, const std::string &requestId)
{
    for (auto at = text.find(IdPlace); at != std::string::npos; at = text.find(IdPlace))
        text.replace(at, IdPlace.size(), requestId);
    return text;
}

} // namespace

RawEndpoint::RawEndpoint(std::vector<Answer> answers)
    : m_answers(std::move(answers))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    const bool isListening = ::bind(m_listener, generic, length) == 0
            && ::listen(m_listener, 16) == 0 && ::getsockname(m_listener, generic, &length) == 0;
    if (!isListening)
        std::abort();
    m_port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] { acceptConnections(); });
}

RawEndpoint::~RawEndpoint()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptThread.join();
    ::close(m_listener);
    {
        const std::scoped_lock lock(m_mutex);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

pistachiofall::SocketAddress RawEndpoint::address() const
{
    return std::get<0>(pistachiofall::SocketAddress::parse("127.0.0.1:" + std::to_string(m_port)));
}

std::string RawEndpoint::lastRequest()
{
    const std::scoped_lock lock(m_mutex);
    return m_lastRequest;
}

void RawEndpoint::setAnswers(std::vector<Answer> answers)
{
    const std::scoped_lock lock(m_mutex);
    m_answers = std::move(answers);
    m_requests = 0;
    m_connections = 0;
}

void RawEndpoint::acceptConnections()
{
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        ++m_connections;
        {
            const std::scoped_lock lock(m_mutex);
            m_sockets.push_back(socket);
        }
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

// Returns nothing at the end of the connection.
std::string RawEndpoint::readSome(int socket)
{
    std::array<char, 65536> buffer{};
    const auto count = ::recv(socket, buffer.data(), buffer.size(), 0);
    return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0))};
}

// Reads the rest of a request that has begun.
std::string RawEndpoint::readRequest(int socket, std::string request)
{
    std::size_t end = std::string::npos;
    for (;;) {
        const auto headEnd = request.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            const auto length = request.find(LengthField);
            end = headEnd + 4;
            if (length < headEnd)
                end += std::strtoul(request.c_str() + length + LengthField.size(), nullptr, 10);
        }
        if (request.size() >= end)
            return request;
        const std::string more = readSome(socket);
        if (more.empty())
            return {};
        request += more;
    }
}

const RawEndpoint::Answer &RawEndpoint::nextAnswer() const
{
    const auto index = static_cast<std::size_t>(m_requests);
    return m_answers[std::min(index, m_answers.size() - 1)];
}

bool RawEndpoint::answersEarly()
{
    const std::scoped_lock lock(m_mutex);
    return nextAnswer().comesEarly;
}

RawEndpoint::Answer RawEndpoint::takeAnswer(std::string request)
{
    const std::scoped_lock lock(m_mutex);
    m_lastRequest = std::move(request);
    Answer answer = nextAnswer();
    ++m_requests;
    return answer;
}

void RawEndpoint::sendPieces(int socket, const Answer &answer, const std::string &requestId)
{
    for (const std::string &piece : answer.pieces) {
        if (&piece != &answer.pieces.front())
            std::this_thread::sleep_for(PieceGap);
        const std::string bytes = withRequestId(piece, requestId);
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
}

// The other side sees an error instead of the end of the connection.
void RawEndpoint::reset(int socket)
{
    const std::scoped_lock lock(m_mutex);
    const linger noWait{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &noWait, sizeof noWait);
    std::erase(m_sockets, socket);
    ::close(socket);
}

void RawEndpoint::serve(int socket)
{
    serveRequests(socket);
    const std::scoped_lock lock(m_mutex);
    if (std::erase(m_sockets, socket) > 0)
        ::close(socket);
}

void RawEndpoint::serveRequests(int socket)
{
    for (;;) {
        std::string request = readSome(socket);
        if (!request.empty() && !answersEarly())
            request = readRequest(socket, std::move(request));
        if (request.empty())
            return;
        const std::string requestId = fieldOf(request, "Request-Id: ");
        const Answer answer = takeAnswer(std::move(request));
        std::this_thread::sleep_for(answer.pause);
        sendPieces(socket, answer, requestId);
        if (answer.resetsAfterwards) {
            std::this_thread::sleep_for(PieceGap);
            reset(socket);
            return;
        }
        if (answer.closesAfterwards) {
            ::shutdown(socket, SHUT_RDWR);
            return;
        }
        if (answer.pieces.empty()) {
            char byte = 0;
            m_hasLostClient = ::recv(socket, &byte, 1, 0) <= 0;
            return;
        }
    }
}
