#include "http/bufferbudget.h"

namespace pistachiofall {

bool BufferBudget::take(std::size_t bytes)
{
    std::size_t used = m_used;
    do {
        if (bytes > m_maxBytes - used)
            return false;
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    return true;
}

BufferShare::BufferShare(BufferShare &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_taken(std::exchange(other.m_taken, 0))
{ }

BufferShare &BufferShare::operator=(BufferShare &&other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_taken, other.m_taken);
    return *this;
}

bool BufferShare::resize(std::size_t bytes)
{
    if (!m_budget)
        return true;
    const std::size_t wanted = bytes > FreeBytes ? bytes - FreeBytes : 0;
    if (wanted > m_taken && !m_budget->take(wanted - m_taken))
        return false;
    if (wanted < m_taken)
        m_budget->giveBack(m_taken - wanted);
    m_taken = wanted;
    return true;
}

} // namespace pistachiofall
