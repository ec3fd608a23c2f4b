#include "fleet/stopschedule.h"

#include <algorithm>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;

// The load balancer removes an instance after two failed readiness probes, one second apart.
constexpr milliseconds BalancerDrainTime{2300};
// The part of the grace period kept in reserve, so that the process exits before the period ends.
constexpr milliseconds ShutdownReserve{300};
// The time in which the last answers are written.
constexpr milliseconds AnswerTime{400};

} // namespace

StopSchedule::StopSchedule(SteadyTime begin, milliseconds grace)
    : m_acceptsUntil(begin + std::min(BalancerDrainTime, grace / 3))
    , m_answersUntil(std::max(m_acceptsUntil, begin + grace - ShutdownReserve - AnswerTime))
    , m_end(std::max(m_answersUntil, begin + grace - ShutdownReserve))
{ }

} // namespace pistachiofall
