#include "rollout/endpointdriver.h"

#include "rollout/rollouttimes.h"

namespace pistachiofall {

namespace {

// The version that the engine should have. One that failed to load is not tried again, and an
// engine that lost its version by that goes back to the one before.
const std::string &targetOf(const std::string &wanted, const EngineState &state)
{
    if (wanted != state.failedVersion)
        return wanted;
    return state.version.empty() ? state.previousVersion : state.version;
}

} // namespace

EndpointDriver::EndpointDriver(OldCommands oldCommands, SteadyTime start)
    : m_settledAt(oldCommands == OldCommands::Obeyed ? start + TakeoverDelay : start)
{ }

void EndpointDriver::permit(SteadyTime now)
{
    if (m_isChanging)
        return;
    m_isChanging = true;
    m_drainEnds = now + DrainBound;
}

DriverStep EndpointDriver::step(const std::string &wanted, const std::optional<EngineState> &state,
                                bool isDrained, SteadyTime now)
{
    // An engine that stops answering during a load still counts as changing: a version that makes
    // engines crash must not go on to the next one.
    if (!state)
        return {m_isChanging ? EndpointPhase::Changing : EndpointPhase::Unreachable, std::nullopt};
    if (!state->loadingVersion.empty()) {
        // Also when a former driver sent the command.
        permit(now);
        return {EndpointPhase::Changing, std::nullopt};
    }
    // Without a version it serves nobody, so going back to the one before needs no permission.
    if (state->version.empty() && state->failedVersion == wanted)
        permit(now);
    const std::string &target = targetOf(wanted, *state);
    const bool isSettled = now >= m_settledAt;
    if (target.empty() || state->version == target) {
        m_isChanging = false;
        // Loading what is loaded clears a failure, so that the failed version can be tried again.
        const bool isFailureOver = !state->failedVersion.empty() && state->failedVersion != wanted;
        if (isFailureOver && isSettled && !target.empty())
            return {EndpointPhase::Serving, target};
        return {EndpointPhase::Serving, std::nullopt};
    }
    const bool mayLoad = m_isChanging && isSettled && (isDrained || now >= m_drainEnds);
    return {phase(), mayLoad ? std::optional(target) : std::nullopt};
}

EndpointPhase EndpointDriver::phase() const
{
    return m_isChanging ? EndpointPhase::Changing : EndpointPhase::Serving;
}

} // namespace pistachiofall
