#include "fleet/coldstartlimiter.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(ColdStartLimiter){};

namespace {

// Returns the maximum number of requests that all instances together send to one cold endpoint
// within a second.
int maxRequestsPerSecond(int instanceCount, double rate)
{
    std::vector<std::string> instances;
    for (int index = 0; index < instanceCount; ++index)
        instances.push_back("gateway-" + std::to_string(index));
    const SteadyTime begin{std::chrono::hours{1}};
    std::vector<ColdStartLimiter> limiters;
    for (const std::string &instance : instances)
        limiters.emplace_back(begin, rate, "e1", instance, instances);
    std::vector<SteadyTime> sent;
    for (auto now = begin; now < begin + std::chrono::seconds{4}; now += milliseconds{1}) {
        for (ColdStartLimiter &limiter : limiters) {
            if (!limiter.isAllowed(now))
                continue;
            limiter.record(now);
            sent.push_back(now);
        }
    }
    int most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        int count = 0;
        for (std::size_t next = first; next < sent.size(); ++next)
            count += sent[next] - sent[first] < std::chrono::seconds{1} ? 1 : 0;
        most = std::max(most, count);
    }
    return most;
}

} // namespace

// Guards against instances that together overload a cold endpoint, whatever their number. The
// operators' bound is one and a half times the rate plus five requests.
TEST(ColdStartLimiter, InstancesTogetherStayWithinTheBound)
{
    for (const int instances : {1, 2, 6, 9, 74, 410}) {
        for (const double rate : {1.0, 2.0, 5.0, 12.0, 40.0}) {
            const int most = maxRequestsPerSecond(instances, rate);
            CHECK(most <= rate * 1.5 + 5);
            CHECK(most >= 1);
        }
    }
}
