#include "fleet/coldgate.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(ColdGate){};

namespace {

// The most requests that all instances together send to one cold endpoint within a second.
int busiestSecond(int instanceCount, double rate)
{
    std::vector<std::string> instances;
    for (int index = 0; index < instanceCount; ++index)
        instances.push_back("gateway-" + std::to_string(index));
    const SteadyTime begin{std::chrono::hours{1}};
    std::vector<ColdGate> gates;
    for (const std::string &instance : instances)
        gates.emplace_back(begin, rate, "e1", instance, instances);
    std::vector<SteadyTime> sent;
    for (auto now = begin; now < begin + std::chrono::seconds{4}; now += milliseconds{1}) {
        for (ColdGate &gate : gates) {
            if (!gate.isOpen(now))
                continue;
            gate.take(now);
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

// Guards against instances that together flood a cold endpoint, however many there are: the bound
// is one and a half times the rate and five requests.
TEST(ColdGate, AllInstancesTogetherKeepTheBound)
{
    for (const int instances : {1, 2, 6, 9, 74, 410}) {
        for (const double rate : {1.0, 2.0, 5.0, 12.0, 40.0}) {
            const int most = busiestSecond(instances, rate);
            CHECK(most <= rate * 1.5 + 5);
            CHECK(most >= 1);
        }
    }
}
