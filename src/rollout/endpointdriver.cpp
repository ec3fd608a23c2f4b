#include "rollout/endpointdriver.h"

#include "rollout/rollouttimes.h"

namespace pistachiofall {

namespace {

// Returns the version that the engine should run. A version that failed to load is not retried; an
// engine that was left without a version by the failure rolls back to its previous one.
const std::string &selectTarget(const std::string &desiredVersion, const EngineState &state)
{
    if (desiredVersion != state.failedVersion)
        return desiredVersion;
    return state.version.empty() ? state.previousVersion : state.version;
}

} // namespace

EndpointDriver::EndpointDriver(StaleCommands staleCommands, SteadyTime start)
    : m_commandsAllowedFrom(staleCommands == StaleCommands::Executed ? start + TakeoverDelay
                                                                     : start)
{ }

void EndpointDriver::permit(SteadyTime now)
{
    if (m_isChanging)
        return;
    m_isChanging = true;
    m_drainDeadline = now + DrainTimeout;
}

DriverStep EndpointDriver::step(const std::string &desiredVersion,
                                const std::optional<EngineState> &state, bool isDrained,
                                SteadyTime now)
{
    // An engine that stops responding during a load still counts as changing, so that a version
    // that crashes engines is not rolled out to the next one.
    if (!state)
        return {m_isChanging ? EndpointPhase::Changing : EndpointPhase::Unreachable, std::nullopt};
    if (!state->loadingVersion.empty()) {
        // The load may also have been started by a former driver.
        permit(now);
        return {EndpointPhase::Changing, std::nullopt};
    }
    // An engine without a version serves no requests, so a rollback needs no permission.
    if (state->version.empty() && state->failedVersion == desiredVersion)
        permit(now);
    const std::string &target = selectTarget(desiredVersion, *state);
    const bool areCommandsAllowed = now >= m_commandsAllowedFrom;
    if (target.empty() || state->version == target) {
        m_isChanging = false;
        // Reloading the current version clears the recorded failure, so that the failed version can
        // be tried again later.
        const bool isFailureObsolete =
                !state->failedVersion.empty() && state->failedVersion != desiredVersion;
        if (isFailureObsolete && areCommandsAllowed && !target.empty())
            return {EndpointPhase::Serving, target};
        return {EndpointPhase::Serving, std::nullopt};
    }
    const bool mayLoad =
            m_isChanging && areCommandsAllowed && (isDrained || now >= m_drainDeadline);
    return {phase(), mayLoad ? std::optional(target) : std::nullopt};
}

EndpointPhase EndpointDriver::phase() const
{
    return m_isChanging ? EndpointPhase::Changing : EndpointPhase::Serving;
}

} // namespace pistachiofall
