#include "base/decisionlog.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

#include <poll.h>
#include <unistd.h>

namespace pistachiofall {

namespace {

constexpr int InfoLinesPerSecond = 20;
constexpr int WarningLinesPerSecond = 50;
constexpr std::size_t MaxBufferBytes = std::size_t{64} * 1024;
// At most what a pipe takes at once, so that a writable pipe takes it without waiting.
constexpr std::size_t MaxWriteBytes = 4096;

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = sinceEpoch / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(sinceEpoch % 1000));
    return std::string(text.data(), size) + fraction.data();
}

bool isWritable(int fileDescriptor)
{
    pollfd descriptor{fileDescriptor, POLLOUT, 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

} // namespace

DecisionLog::DecisionLog(const Clock &clock, int fileDescriptor)
    : m_clock(clock)
    , m_fileDescriptor(fileDescriptor)
{ }

DecisionLog::~DecisionLog()
{
    flush();
}

void DecisionLog::info(std::string_view event, std::initializer_list<LogField> fields)
{
    add("INFO", event, fields, InfoLinesPerSecond);
}

void DecisionLog::warning(std::string_view event, std::initializer_list<LogField> fields)
{
    add("WARNING", event, fields, WarningLinesPerSecond);
}

void DecisionLog::add(std::string_view level, std::string_view event,
                      std::initializer_list<LogField> fields, int linesPerSecond)
{
    const auto now = m_clock.now();
    auto found = m_budgets.find(event);
    if (found == m_budgets.end())
        found = m_budgets.emplace(std::string(event), Budget{now, 0, 0}).first;
    Budget &budget = found->second;
    if (now - budget.second >= std::chrono::seconds{1}) {
        if (budget.leftOut > 0)
            append("INFO", "lines_left_out",
                   formatFields({{"event", event}, {"lines", budget.leftOut}}));
        budget = Budget{now, 0, 0};
    }
    if (budget.lines >= linesPerSecond) {
        ++budget.leftOut;
        return;
    }
    ++budget.lines;
    append(level, event, formatFields(fields));
}

void DecisionLog::append(std::string_view level, std::string_view event, const std::string &fields)
{
    if (m_buffer.size() + fields.size() > MaxBufferBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer += formatTime(m_clock.wallNow());
    m_buffer += ' ';
    m_buffer += level;
    m_buffer += ' ';
    m_buffer += event;
    m_buffer += fields;
    m_buffer += '\n';
}

void DecisionLog::flush()
{
    if (m_droppedLines > 0 && m_buffer.size() < MaxBufferBytes / 2) {
        const std::uint64_t dropped = m_droppedLines;
        m_droppedLines = 0;
        append("WARNING", "lines_dropped", formatFields({{"lines", dropped}}));
    }
    while (!m_buffer.empty() && isWritable(m_fileDescriptor)) {
        const std::size_t size = std::min(m_buffer.size(), MaxWriteBytes);
        const ssize_t written = write(m_fileDescriptor, m_buffer.data(), size);
        if (written <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace pistachiofall
