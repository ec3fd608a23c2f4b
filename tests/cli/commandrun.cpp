#include "commandrun.h"

#include "cli/runcommand.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <streambuf>

#include <unistd.h>

namespace pistachiofall::testing {

namespace {

thread_local std::string threadOut;
thread_local std::string threadErr;

/// A stream buffer that appends what each thread writes to a string of that thread.
class ThreadBuffer : public std::streambuf
{
public:
    explicit ThreadBuffer(std::string &(*threadText)())
        : m_threadText(threadText)
    { }

protected:
    int_type overflow(int_type character) override
    {
        m_threadText() += traits_type::to_char_type(character);
        return character;
    }

    std::streamsize xsputn(const char *text, std::streamsize size) override
    {
        m_threadText().append(text, static_cast<std::size_t>(size));
        return size;
    }

private:
    std::string &(*m_threadText)();
};

/// Redirects std::cout and std::cerr. The buffers are never destroyed, because threads and static
/// destructors may still write to them.
void installBuffers()
{
    static auto *const out = new ThreadBuffer([]() -> std::string & { return threadOut; });
    static auto *const err = new ThreadBuffer([]() -> std::string & { return threadErr; });
    static const bool isInstalled = [] {
        std::cout.rdbuf(out);
        std::cerr.rdbuf(err);
        return true;
    }();
    static_cast<void>(isInstalled);
}

} // namespace

CommandRun collectOutput(const std::function<int()> &function)
{
    installBuffers();
    threadOut.clear();
    threadErr.clear();
    CommandRun run;
    run.exitCode = function();
    run.out = threadOut;
    run.err = threadErr;
    return run;
}

CommandRun runPistachiofall(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "pistachiofall");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments)
        pointers.push_back(argument.data());
    return collectOutput(
            [&] { return runCommand(static_cast<int>(pointers.size()), pointers.data()); });
}

TemporaryFile::TemporaryFile(const std::string &text)
    : m_path((std::filesystem::temp_directory_path() / "pistachiofall-test-XXXXXX").string())
{
    const int file = mkstemp(m_path.data());
    std::size_t written = 0;
    while (file >= 0 && written < text.size()) {
        const ssize_t count = write(file, text.data() + written, text.size() - written);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    if (file >= 0)
        close(file);
}

TemporaryFile::~TemporaryFile()
{
    std::error_code ignored;
    std::filesystem::remove(m_path, ignored);
}

} // namespace pistachiofall::testing
