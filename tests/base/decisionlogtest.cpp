#include "base/decisionlog.h"

#include "base/manualclock.h"

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A pipe whose reader reads only when it is asked to.
class Pipe
{
public:
    Pipe()
    {
        CHECK_EQUAL(0, pipe(m_ends.data()));
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const { return m_ends[1]; }

    std::string read() const
    {
        std::string text;
        std::array<char, 4096> piece{};
        for (;;) {
            const ssize_t size = ::read(m_ends[0], piece.data(), piece.size());
            if (size <= 0)
                return text;
            text.append(piece.data(), static_cast<std::size_t>(size));
        }
    }

private:
    std::array<int, 2> m_ends{};
};

int count(const std::string &text, const std::string &part)
{
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

TEST_GROUP(DecisionLog)
{
    ManualClock clock;
    Pipe pipe;
};

// Guards against a reader that stops and so stops the process, and against lines that disappear
// without a word.
TEST(DecisionLog, ReaderThatStopsCostsLinesOnly)
{
    DecisionLog log(clock, pipe.writeEnd());
    const std::string longValue(400, 'x');
    // Far more than the pipe and the buffer hold. A write that waits would never return.
    for (int round = 0; round < 100; ++round) {
        for (int line = 0; line < 20; ++line)
            log.warning("attempt_failed", {{"value", longValue}});
        clock.advance(seconds{1});
        log.flush();
    }
    CHECK(log.unwritten().size() <= std::size_t{64} * 1024);
    std::string seen = pipe.read();
    log.flush();
    seen += pipe.read();
    log.info("ready", {});
    log.flush();
    seen += pipe.read();
    CHECK_EQUAL(1, count(seen, "lines_dropped lines="));
    CHECK_EQUAL(1, count(seen, "INFO ready"));
    const int kept = count(seen, "attempt_failed");
    CHECK(kept > 0 && kept < 2000);
    CHECK(seen.find("lines=" + std::to_string(2000 - kept) + "\n") != std::string::npos);
}

// Guards against an event that floods the log, and against failures that are left out because
// ordinary lines are many.
TEST(DecisionLog, EachEventHasItsBudget)
{
    DecisionLog log(clock, pipe.writeEnd());
    for (int line = 0; line < 500; ++line)
        log.info("request_placed", {{"line", line}});
    log.warning("attempt_failed", {{"reason", "reset"}});
    clock.advance(milliseconds{1100});
    log.info("request_placed", {{"line", 500}});
    log.flush();
    const std::string seen = pipe.read();
    const int kept = count(seen, "INFO request_placed") - 1;
    CHECK(kept > 0 && kept < 100);
    CHECK_EQUAL(1, count(seen, "WARNING attempt_failed reason=reset"));
    const std::string leftOut = "lines_left_out event=request_placed lines=";
    CHECK(seen.find(leftOut + std::to_string(500 - kept)) != std::string::npos);
}
