#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/// The file record.txt of a case: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    /// Writes the line to standard output too.
    void result(const std::string &text);
    /// The seconds since the start.
    double now() const;

private:
    std::FILE *m_file;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

} // namespace review
