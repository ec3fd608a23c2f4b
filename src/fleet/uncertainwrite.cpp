#include "fleet/uncertainwrite.h"

namespace pistachiofall {

namespace {

// Several times the longest delay with which the store applies a write that it has not answered.
constexpr std::chrono::seconds LateWriteTime{30};

} // namespace

UncertainWrite::UncertainWrite(std::uint64_t revision, SteadyTime sent)
    : m_revision(revision)
    , m_sent(sent)
{ }

bool UncertainWrite::isSettled(std::optional<std::uint64_t> revision, SteadyTime now) const
{
    return revision.value_or(0) != m_revision || now - m_sent > LateWriteTime;
}

} // namespace pistachiofall
