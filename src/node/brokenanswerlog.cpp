#include "node/brokenanswerlog.h"

#include "base/log.h"

#include <chrono>
#include <utility>

namespace pistachiofall {

namespace {

// A faulty endpoint may break each of its answers.
constexpr int LinesPerSecond = 50;

bool isBrokenAnswer(const Error &error)
{
    return error.code == ErrorCode::ProtocolError || error.code == ErrorCode::OutcomeUnknown
            || error.code == ErrorCode::TooLarge;
}

} // namespace

BrokenAnswerLog::BrokenAnswerLog(const Clock &clock)
    : m_clock(clock)
{ }

bool BrokenAnswerLog::takeLine()
{
    const auto now = m_clock.now();
    if (now - m_second >= std::chrono::seconds{1}) {
        m_second = now;
        m_lines = 0;
    }
    if (m_lines >= LinesPerSecond) {
        ++m_leftOut;
        return false;
    }
    ++m_lines;
    return true;
}

void BrokenAnswerLog::record(const std::string &requestId, const std::string &endpoint,
                             const Error &error)
{
    if (!isBrokenAnswer(error))
        return;
    const std::scoped_lock lock(m_mutex);
    if (!takeLine())
        return;
    logWarning("answer_broken",
               {{"request", requestId},
                {"endpoint", endpoint},
                {"reason", error.message},
                {"lines_left_out", std::exchange(m_leftOut, 0)}});
}

} // namespace pistachiofall
