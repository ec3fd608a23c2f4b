#include "system/childprocess.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace pistachiofall::tests {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

std::vector<char *> toArgv(std::vector<std::string> &words)
{
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (std::string &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    return argv;
}

// PF_TEST_BINARIES names another folder, to run the tests against another build.
std::string binaryFolder()
{
    const char *folder = std::getenv("PF_TEST_BINARIES");
    return folder == nullptr ? PF_BINARY_DIR : folder;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &errorFile)
{
    std::vector<std::string> words{binaryFolder() + "/" + program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv = toArgv(words);
    int pipeEnds[2] = {-1, -1};
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        std::abort();
    m_pid = fork();
    if (m_pid == 0) {
        // The programs must not outlive a test that crashed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(pipeEnds[1], STDOUT_FILENO);
        if (!errorFile.empty()) {
            const int file = open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(file, STDERR_FILENO);
        }
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(pipeEnds[1]);
    m_output = pipeEnds[0];
}

ChildProcess::~ChildProcess()
{
    kill();
    close(m_output);
}

bool ChildProcess::readMore(milliseconds timeout)
{
    pollfd descriptor{m_output, POLLIN, 0};
    if (poll(&descriptor, 1, static_cast<int>(timeout.count())) <= 0)
        return false;
    char bytes[4096];
    const ssize_t count = read(m_output, bytes, sizeof bytes);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::string ChildProcess::waitForLine(const std::string &prefix, milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    for (;;) {
        for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n')) {
            const std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            if (line.rfind(prefix, 0) == 0)
                return line.substr(prefix.size());
        }
        const auto left = duration_cast<milliseconds>(deadline - steady_clock::now());
        if (left.count() <= 0 || !readMore(left))
            return {};
    }
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int ChildProcess::wait(milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    while (isRunning()) {
        if (steady_clock::now() >= deadline)
            return -1;
        std::this_thread::sleep_for(milliseconds{5});
    }
    return m_exitCode;
}

void ChildProcess::kill()
{
    if (!isRunning())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    wait(std::chrono::seconds{10});
}

bool ChildProcess::isRunning()
{
    if (m_pid <= 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    m_pid = -1;
    return false;
}

std::string ChildProcess::readAll(milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    for (;;) {
        const auto left = duration_cast<milliseconds>(deadline - steady_clock::now());
        if (left.count() <= 0 || !readMore(left))
            return m_buffer;
    }
}

int ChildProcess::peakMegabytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmHWM:"))
            return std::atoi(line.c_str() + 6) / 1024;
    }
    return -1;
}

} // namespace pistachiofall::tests
