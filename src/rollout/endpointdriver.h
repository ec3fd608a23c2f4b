#pragma once

#include "coord/coordtimes.h"
#include "rollout/driverstep.h"
#include "rollout/enginestate.h"

#include <optional>
#include <string>

namespace pistachiofall {

/// Brings the engine of one endpoint to the version that the rules name, at the endpoint's owner.
/// It decides by the state that the engine tells, so it needs no memory of a former driver. Not
/// thread safe.
class EndpointDriver
{
public:
    /// What the engine does with a command that has an old fencing number.
    enum class OldCommands { Rejected, Obeyed };

    /// Where the engine obeys old commands, the first command waits for TakeoverDelay, in which a
    /// former driver loses the right to send any.
    EndpointDriver(OldCommands oldCommands, SteadyTime start);

    /// The rollout coordinator permits the change; the next step drains the endpoint.
    void permit(SteadyTime now);

    /// Decides by the engine's state; empty when it could not be read. The endpoint is drained when
    /// no request is in flight there. Call it after each reading.
    DriverStep step(const std::string &wanted, const std::optional<EngineState> &state,
                    bool isDrained, SteadyTime now);

    /// Whether the endpoint may get requests.
    bool isInService() const { return !m_isChanging; }

private:
    EndpointPhase phase() const;

    SteadyTime m_settledAt;
    bool m_isChanging = false;
    SteadyTime m_drainEnds;
};

} // namespace pistachiofall
