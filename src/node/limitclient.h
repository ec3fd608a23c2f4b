#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "coord/locallimits.h"
#include "metrics/metricsregistry.h"
#include "node/coordination.h"
#include "wire/peerclient.h"

#include <memory>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Asks the two holders of an organisation.
struct HolderLimits
{ };

/// Who decides about the limits.
using LimitPolicy = std::variant<HolderLimits, std::unique_ptr<LocalLimits>>;

/// The entry's side of the limits: asks the holders of an organisation's bucket for a token. Thread
/// safe.
class LimitClient
{
public:
    LimitClient(LimitPolicy policy, const Clock &clock, MetricsRegistry &metrics,
                Coordination &coordination, PeerClient &peers);

    /// Takes one token and waits until it is due. RateLimited when the organisation is over its
    /// rate, Unavailable when no holder answers. Nothing has run in either case.
    boost::asio::awaitable<Result<Done>> acquire(std::string organisation);

private:
    struct Outcome;

    std::vector<HolderId> holdersOf(const std::string &organisation);
    boost::asio::awaitable<Outcome> ask(HolderId holder, std::string organisation);
    boost::asio::awaitable<Outcome> askPeer(SocketAddress address, std::string organisation);
    Outcome askSelf(const std::string &organisation);
    LimitAnswer askLocal(LocalLimits &limits, const std::string &organisation, SteadyTime now);

    LimitPolicy m_policy;
    const Clock &m_clock;
    Coordination &m_coordination;
    PeerClient &m_peers;
    Counter &m_granted;
    Counter &m_refused;
    Counter &m_unavailable;
    Counter &m_discarded;
};

} // namespace pistachiofall
