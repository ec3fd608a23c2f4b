#include "common/countdown.h"

#include <charconv>
#include <limits>

namespace pistachiofall::standins {

bool Countdown::set(const std::string &text)
{
    std::int64_t number = 0;
    if (text == "on") {
        number = std::numeric_limits<std::int64_t>::max();
    } else if (text != "off") {
        const char *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end || number < 0)
            return false;
    }
    m_left = number;
    return true;
}

bool Countdown::take()
{
    std::int64_t left = m_left;
    while (left > 0) {
        if (m_left.compare_exchange_weak(left, left - 1))
            return true;
    }
    return false;
}

} // namespace pistachiofall::standins
