#include "base/crashreport.h"

#include "base/decisionlog.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <climits>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <string_view>

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <unistd.h>

namespace pistachiofall {

namespace {

constexpr int MaxFrames = 48;
constexpr std::array<int, 5> FatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
// A stack that has overflowed has no room for the handler.
constexpr std::size_t HandlerStackBytes = std::size_t{64} * 1024;

std::atomic<const DecisionLog *> crashLog{nullptr};
int crashFileDescriptor = 1;
std::uintptr_t executableBase = 0;
std::array<char, HandlerStackBytes> handlerStack;

// A text of bounded length that needs no memory of its own, since the heap may be broken.
class FixedText
{
public:
    void add(std::string_view text)
    {
        const std::size_t size = std::min(text.size(), m_text.size() - m_size);
        std::memcpy(m_text.data() + m_size, text.data(), size);
        m_size += size;
    }

    void add(std::uintptr_t number, int base)
    {
        std::array<char, 24> digits{};
        const auto result =
                std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
        add({digits.data(), static_cast<std::size_t>(result.ptr - digits.data())});
    }

    std::string_view view() const { return {m_text.data(), m_size}; }

private:
    std::array<char, 2048> m_text{};
    std::size_t m_size = 0;
};

// Ends at a reader that takes nothing: a process that waits here would neither serve nor end.
void writeAll(std::string_view text)
{
    while (!text.empty()) {
        pollfd descriptor{crashFileDescriptor, POLLOUT, 0};
        if (poll(&descriptor, 1, 0) != 1 || (descriptor.revents & POLLOUT) == 0)
            return;
        // A pipe that is writable takes so much without waiting.
        const ssize_t written = write(crashFileDescriptor, text.data(),
                                      std::min<std::size_t>(text.size(), PIPE_BUF));
        if (written <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

void report(int number, siginfo_t *info, void *)
{
    if (const DecisionLog *log = crashLog.exchange(nullptr))
        writeAll(log->unwritten());
    std::array<void *, MaxFrames> frames{};
    const int count = backtrace(frames.data(), MaxFrames);
    FixedText line;
    line.add("CRITICAL crashed signal=");
    line.add(static_cast<std::uintptr_t>(number), 10);
    line.add(" address=0x");
    line.add(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    line.add(" frames=");
    for (int index = 0; index < count; ++index) {
        const auto address =
                reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(index)]);
        line.add(index == 0 ? "0x" : ",0x");
        line.add(address - executableBase, 16);
    }
    line.add("\n");
    writeAll(line.view());
    // The default action is back in place, so that the process ends by the signal.
    std::raise(number);
}

// The executable is the first object that the dynamic linker names.
int noteExecutable(dl_phdr_info *info, std::size_t, void *)
{
    executableBase = info->dlpi_addr;
    return 1;
}

} // namespace

void installCrashReport(const DecisionLog &log, int fileDescriptor)
{
    crashLog = &log;
    crashFileDescriptor = fileDescriptor;
    dl_iterate_phdr(noteExecutable, nullptr);
    // The first call loads a library, which must not happen within the handler.
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1);
    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action
    { };
    action.sa_sigaction = report;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | static_cast<int>(SA_RESETHAND);
    for (const int number : FatalSignals)
        sigaction(number, &action, nullptr);
}

void forgetCrashLog()
{
    crashLog = nullptr;
}

} // namespace pistachiofall
