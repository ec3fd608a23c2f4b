#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "http/endpointclient.h"
#include "rollout/enginestate.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// What became of a command.
enum class CommandOutcome {
    Accepted,
    /// The engine has seen a higher fencing number.
    OldNumber,
    /// No answer, or another one; it may have been carried out.
    Unknown,
};

/// Reads the state of engines and sends them commands.
class EngineClient
{
public:
    explicit EngineClient(std::shared_ptr<EndpointClient> client);

    boost::asio::awaitable<Result<EngineState>> readState(SocketAddress engine);

    /// Tells the engine to load the version. The command is sent once.
    boost::asio::awaitable<CommandOutcome> load(SocketAddress engine, std::string version,
                                                std::uint64_t fencing);

private:
    const std::shared_ptr<EndpointClient> m_client;
};

/// ProtocolError when the text is not the JSON of an engine's state. Fields that are missing are
/// empty.
Result<EngineState> parseEngineState(std::string_view text);

} // namespace pistachiofall
