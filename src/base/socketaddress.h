#pragma once

#include "base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiofall {

/// An IP address and a port. Host names are not accepted: processes talk by IP numbers.
class SocketAddress
{
public:
    /// Parses "127.0.0.1:80" or "[::1]:80".
    static Result<SocketAddress> parse(std::string_view text);

    /// The IP address without brackets.
    const std::string &host() const { return m_host; }
    std::uint16_t port() const { return m_port; }

    /// The form that parse() accepts.
    std::string toString() const;

    // clang-tidy 14 takes the zero of the generated comparison for a null pointer.
    auto operator<=>(const SocketAddress &) const = default; // NOLINT(modernize-use-nullptr)

private:
    SocketAddress(std::string host, std::uint16_t port);

    std::string m_host;
    std::uint16_t m_port = 0;
};

} // namespace pistachiofall
