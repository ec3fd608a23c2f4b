#include "common/platformfaults.h"

namespace pistachiofall::standins {

bool PlatformFaults::takeLostAnswer()
{
    std::uint64_t left = m_answersToLose.load();
    while (left > 0) {
        if (m_answersToLose.compare_exchange_weak(left, left - 1))
            return true;
    }
    return false;
}

} // namespace pistachiofall::standins
