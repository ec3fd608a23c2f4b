#pragma once

#include "base/clock.h"
#include "base/log.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace pistachiofall {

/// The log of decisions: one line "time level event name=value ..." on standard output for each
/// decision that touches a request or changes what the process believes. A write never waits: lines
/// gather in a bounded buffer, and what a slow reader does not take is dropped and counted. Each
/// event has a budget of lines a second; a line "lines_left_out" counts what went beyond it.
///
/// Not thread safe.
class DecisionLog
{
public:
    /// The clock must outlive the log.
    explicit DecisionLog(const Clock &clock, int fileDescriptor = 1);
    /// Writes what the reader takes at once.
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /// An ordinary decision.
    void info(std::string_view event, std::initializer_list<LogField> fields);
    /// A failure; it has a budget of its own.
    void warning(std::string_view event, std::initializer_list<LogField> fields);

    /// Hands the buffer to the reader as far as it takes it. Call it every so often.
    void flush();

    /// The lines that the reader has not taken yet.
    std::string_view unwritten() const { return m_buffer; }

private:
    struct Budget
    {
        std::chrono::steady_clock::time_point second;
        int lines = 0;
        std::uint64_t leftOut = 0;
    };

    void add(std::string_view level, std::string_view event, std::initializer_list<LogField> fields,
             int linesPerSecond);
    void append(std::string_view level, std::string_view event, const std::string &fields);

    const Clock &m_clock;
    int m_fileDescriptor;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    std::map<std::string, Budget, std::less<>> m_budgets;
};

} // namespace pistachiofall
