#include "system/freeport.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachiofall::tests {

namespace {

bool canListen(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool isFree =
            bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    close(descriptor);
    return isFree;
}

} // namespace

std::uint16_t freePort()
{
    constexpr std::uint32_t First = 12000;
    constexpr std::uint32_t Count = 20000;
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * 997U;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(First + next++ % Count);
        if (canListen(port))
            return port;
    }
}

} // namespace pistachiofall::tests
