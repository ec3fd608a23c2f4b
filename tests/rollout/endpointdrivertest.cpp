#include "rollout/endpointdriver.h"

#include "rollout/rollouttimes.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime Start{1h};

EngineState serving(const std::string &version)
{
    return {version, {}, {}, {}, 0};
}

} // namespace

TEST_GROUP(EndpointDriver)
{
    EndpointDriver driver{EndpointDriver::StaleCommands::Rejected, Start};

    std::string load(const EngineState &state, bool isDrained, SteadyTime now = Start)
    {
        return driver.step("v2", state, isDrained, now).versionToLoad.value_or("none");
    }
};

// Guards against a load without permission, and against a load that aborts requests that would have
// finished before the drain timeout.
TEST(EndpointDriver, LoadsAfterPermissionAndDrain)
{
    STRCMP_EQUAL("none", load(serving("v1"), true).c_str());
    CHECK_TRUE(driver.isInService());
    driver.permit(Start);
    CHECK_FALSE(driver.isInService());
    STRCMP_EQUAL("none", load(serving("v1"), false).c_str());
    STRCMP_EQUAL("v2", load(serving("v1"), true).c_str());
    STRCMP_EQUAL("v2", load(serving("v1"), false, Start + DrainTimeout).c_str());
    STRCMP_EQUAL("none", load({"v1", {}, "v2", {}, 1}, true).c_str());
    CHECK_FALSE(driver.isInService());
    STRCMP_EQUAL("none", load(serving("v2"), true).c_str());
    CHECK_TRUE(driver.isInService());
}

// Guards against a driver that sends commands to an engine that executes stale commands while a
// former driver may still send its own.
TEST(EndpointDriver, WaitsForFormerDriverIfStaleCommandsAreExecuted)
{
    driver = EndpointDriver{EndpointDriver::StaleCommands::Executed, Start};
    driver.permit(Start);
    STRCMP_EQUAL("none", load(serving("v1"), true, Start + TakeoverDelay - 1ms).c_str());
    STRCMP_EQUAL("v2", load(serving("v1"), true, Start + TakeoverDelay).c_str());
}

// Guards against requests to an engine that is still loading for a former driver, and against an
// engine that crashes during a load and no longer counts as changing.
TEST(EndpointDriver, KeepsEndpointOutOfServiceUntilStateIsRead)
{
    CHECK(driver.step("v2", std::nullopt, true, Start).phase == EndpointPhase::Unreachable);
    CHECK(driver.step("v2", EngineState{"v1", {}, "v2", {}, 1}, true, Start).phase
          == EndpointPhase::Changing);
    CHECK(driver.step("v2", std::nullopt, true, Start).phase == EndpointPhase::Changing);
    CHECK_FALSE(driver.isInService());
}

// Guards against endless retries of a version that fails to load, and against an engine that is
// left without a version after the failure.
TEST(EndpointDriver, RollsBackAfterFailedLoad)
{
    driver.permit(Start);
    STRCMP_EQUAL("none", load({"v1", {}, {}, "v2", 1}, true).c_str());
    CHECK_TRUE(driver.isInService());
    STRCMP_EQUAL("v1", load({{}, "v1", {}, "v2", 1}, true).c_str());
    CHECK_FALSE(driver.isInService());
    const auto retry = driver.step("v1", EngineState{"v1", {}, {}, "v2", 1}, true, Start);
    STRCMP_EQUAL("v1", retry.versionToLoad.value_or("none").c_str());
    CHECK(retry.phase == EndpointPhase::Serving);
}
