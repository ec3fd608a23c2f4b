#include "record.h"

namespace review {

Record::Record(const std::string &file)
    : m_file(std::fopen(file.c_str(), "w"))
{ }

Record::~Record()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

double Record::now() const
{
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - m_begin;
    return time.count();
}

void Record::line(const std::string &text)
{
    const std::scoped_lock lock(m_mutex);
    if (m_file == nullptr)
        return;
    std::fprintf(m_file, "%8.3f s  %s\n", now(), text.c_str());
    std::fflush(m_file);
}

void Record::result(const std::string &text)
{
    line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

} // namespace review
