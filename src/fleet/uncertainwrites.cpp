#include "fleet/uncertainwrites.h"

namespace pistachiofall {

namespace {

// A caller that repeats a call has done so by then.
constexpr std::chrono::seconds Lifetime{60};

} // namespace

void UncertainWrites::record(const std::string &object, SteadyTime now)
{
    std::erase_if(m_sent, [now](const auto &each) { return now - each.second > Lifetime; });
    m_sent[object] = now;
}

bool UncertainWrites::mayBeApplied(const std::string &object, SteadyTime now) const
{
    const auto found = m_sent.find(object);
    return found != m_sent.end() && now - found->second <= Lifetime;
}

} // namespace pistachiofall
