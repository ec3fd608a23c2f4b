#include "rollout/rolloutplanner.h"

#include "rollout/rollouttimes.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime Start{1h};
constexpr RolloutLimits TestLimits{0.5, 2};

} // namespace

TEST_GROUP(RolloutPlanner)
{
    RolloutPlanner planner{Start};
    RolloutTarget target;
    std::uint64_t sequence = 0;
    SteadyTime now = Start + CoordinatorStartupDelay;

    void setup() override
    {
        target.version = "v2";
        for (int index = 0; index < 16; ++index)
            target.endpoints[name(index)] = {index < 8 ? "east-a" : "east-b", true};
        planner.setTarget(target, TestLimits);
    }

    static std::string name(int index)
    {
        return std::string("e-") + static_cast<char>('a' + index);
    }

    std::size_t report(int first, int last, const std::string &version,
                       EndpointPhase phase = EndpointPhase::Serving, const std::string &failed = {})
    {
        ++sequence;
        std::vector<EndpointReport> reports;
        for (int index = first; index <= last; ++index)
            reports.push_back({name(index), version, failed, phase, 5, sequence});
        return planner.report(reports, now).size();
    }
};

// Guards against changes in two failure domains at once, and in more than a quarter of one.
TEST(RolloutPlanner, ChangesAQuarterOfOneDomainAtATime)
{
    CHECK_EQUAL(0U, report(8, 15, "v1"));
    CHECK_EQUAL(2U, report(0, 7, "v1"));
    CHECK_EQUAL(0U, report(2, 15, "v1"));
    CHECK_EQUAL(0U, report(0, 1, "v1", EndpointPhase::Changing));
    report(0, 1, "v2");
    CHECK_EQUAL(2U, report(2, 7, "v1"));
    report(2, 7, "v2");
    CHECK_EQUAL(2U, report(8, 15, "v1"));
    const RolloutProgress progress = planner.progress(now);
    CHECK_EQUAL(8U, progress.current);
    CHECK_EQUAL(2U, progress.changing);
    CHECK_EQUAL(6U, progress.pending);
}

// Guards against a coordinator that grants permissions before it knows about all changes that a
// former one permitted.
TEST(RolloutPlanner, PermitsNothingBeforeAllReportsAreRecent)
{
    now = Start + CoordinatorStartupDelay - 1ms;
    CHECK_EQUAL(0U, report(0, 15, "v1"));
    now = Start + CoordinatorStartupDelay;
    CHECK_EQUAL(2U, report(0, 15, "v1"));
    now += ReportLifetime + 1ms;
    CHECK_EQUAL(0U, report(0, 14, "v1"));
    CHECK_EQUAL(1U, planner.progress(now).unknown);
}

// Guards against a load that reduces the endpoints in service below the minimum while other
// endpoints are unreachable.
TEST(RolloutPlanner, KeepsMinimumInService)
{
    CHECK_EQUAL(0U, report(9, 15, "v1", EndpointPhase::Unreachable));
    CHECK_EQUAL(1U, report(0, 8, "v1"));
}

// Guards against a minimum that never lets the version of a single-endpoint model change.
TEST(RolloutPlanner, ChangesASingleEndpoint)
{
    std::erase_if(target.endpoints, [](const auto &entry) { return entry.first != "e-a"; });
    planner.setTarget(target, TestLimits);
    CHECK_EQUAL(1U, report(0, 0, "v1"));
}

// Guards against a rollout that goes on to more endpoints after the version failed to load on one.
TEST(RolloutPlanner, StopsAfterAFailedLoad)
{
    CHECK_EQUAL(2U, report(0, 15, "v1"));
    CHECK_EQUAL(0U, report(0, 0, "v1", EndpointPhase::Serving, "v2"));
    CHECK_EQUAL(0U, report(1, 15, "v1"));
    STRCMP_EQUAL("e-a", planner.progress(now).failedEndpoint.c_str());
    target.version = "v3";
    planner.setTarget(target, TestLimits);
    CHECK_EQUAL(2U, report(0, 15, "v1", EndpointPhase::Serving, "v2"));
}

// Guards against a delayed report that hides a change in progress.
TEST(RolloutPlanner, IgnoresOlderReports)
{
    CHECK_EQUAL(2U, report(0, 15, "v1"));
    const std::uint64_t delayed = sequence++;
    report(0, 1, "v1", EndpointPhase::Changing);
    sequence = delayed;
    CHECK_EQUAL(0U, report(0, 7, "v1"));
    CHECK_EQUAL(2U, planner.progress(now).changing);
}
