#include "node/processcost.h"

#include <cstdint>
#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace pistachiofall {

namespace {

std::int64_t milliseconds(const timeval &time)
{
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_usec / 1000;
}

std::int64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * sysconf(_SC_PAGESIZE);
}

} // namespace

void recordProcessCost(MetricsRegistry &metrics)
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        metrics.gauge("process_cpu_milliseconds")
                .set(milliseconds(usage.ru_utime) + milliseconds(usage.ru_stime));
    }
    metrics.gauge("process_resident_bytes").set(residentBytes());
}

} // namespace pistachiofall
