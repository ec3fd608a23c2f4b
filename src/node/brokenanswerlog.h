#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "coord/coordtimes.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace pistachiofall {

/// Logs the answers of endpoints that are broken, each with the request's id and the reason, up to
/// a number of lines a second. Thread safe.
class BrokenAnswerLog
{
public:
    /// The clock must outlive the log.
    explicit BrokenAnswerLog(const Clock &clock);

    /// Logs the error of a call if it says that the answer is broken, and not that there was none
    /// in time or that this side ended the call.
    void record(const std::string &requestId, const std::string &endpoint, const Error &error);

private:
    /// Takes one of the lines of the present second; false when there are none left.
    bool takeLine();

    const Clock &m_clock;
    std::mutex m_mutex;
    SteadyTime m_second{};
    int m_lines = 0;
    std::uint64_t m_leftOut = 0;
};

} // namespace pistachiofall
