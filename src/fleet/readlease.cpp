#include "fleet/readlease.h"

#include <algorithm>

namespace pistachiofall {

void ReadLease::recordConfirmation(SteadyTime sent)
{
    m_confirmed = std::max(m_confirmed, sent);
}

void ReadLease::recordTakeover(SteadyTime acknowledged)
{
    m_resultsFrom = acknowledged + Duration;
}

void ReadLease::recordWriteSent()
{
    m_isWriteOpen = true;
}

void ReadLease::recordWriteSettled()
{
    m_isWriteOpen = false;
}

void ReadLease::recordWriteUncertain()
{
    m_isWriteOpen = false;
    m_isWriteUncertain = true;
}

void ReadLease::recordChange()
{
    m_isWriteUncertain = false;
}

bool ReadLease::mayAnswer(SteadyTime now) const
{
    return !m_isWriteOpen && !m_isWriteUncertain && now - m_confirmed < Duration;
}

} // namespace pistachiofall
