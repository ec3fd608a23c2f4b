#include "base/socketaddress.h"

#include <charconv>
#include <utility>

#include <arpa/inet.h>

namespace pistachiofall {

namespace {

bool isIpAddress(const std::string &host)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1
            || inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

} // namespace

SocketAddress::SocketAddress(std::string host, std::uint16_t port)
    : m_host(std::move(host))
    , m_port(port)
{ }

Result<SocketAddress> SocketAddress::parse(std::string_view text)
{
    const Error invalid{ErrorCode::InvalidArgument,
                        "address '" + std::string(text) + "' is not IP:PORT"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid;
    std::string host(text.substr(0, colon));
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string::npos)
        return invalid;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || !isIpAddress(host))
        return invalid;
    return SocketAddress(std::move(host), port);
}

std::string SocketAddress::toString() const
{
    const bool isV6 = m_host.find(':') != std::string::npos;
    return (isV6 ? "[" + m_host + "]" : m_host) + ":" + std::to_string(m_port);
}

} // namespace pistachiofall
