#pragma once

#include "coord/coordtimes.h"
#include "rollout/driverstep.h"
#include "rollout/enginestate.h"

#include <optional>
#include <string>

namespace pistachiofall {

/// Brings the engine of one endpoint to the version given by the rules. Runs at the instance that
/// owns the endpoint. Decisions depend on the state that the engine reports, so a new driver needs
/// no state from a former one. Not thread-safe.
class EndpointDriver
{
public:
    /// How the engine handles a command with a fencing token lower than the highest it has seen.
    enum class StaleCommands { Rejected, Executed };

    /// If the engine executes stale commands, no command is sent until TakeoverDelay after the
    /// start. By then a former driver is no longer allowed to send any.
    EndpointDriver(StaleCommands staleCommands, SteadyTime start);

    /// Takes the endpoint out of service after the rollout coordinator permitted the change. The
    /// endpoint is drained for up to DrainTimeout before the load. Has no effect during a change.
    void permit(SteadyTime now);

    /// Returns the next action. Call it after each attempt to read the engine's state; the state is
    /// empty if it could not be read. The endpoint is drained when it has no requests in flight.
    DriverStep step(const std::string &desiredVersion, const std::optional<EngineState> &state,
                    bool isDrained, SteadyTime now);

    /// Returns true if requests may be sent to the endpoint.
    bool isInService() const { return !m_isChanging; }

private:
    EndpointPhase phase() const;

    SteadyTime m_commandsAllowedFrom;
    bool m_isChanging = false;
    SteadyTime m_drainDeadline;
};

} // namespace pistachiofall
