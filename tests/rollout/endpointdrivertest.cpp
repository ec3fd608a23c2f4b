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
    EndpointDriver driver{EndpointDriver::OldCommands::Rejected, Start};

    std::string load(const EngineState &state, bool isDrained, SteadyTime now = Start)
    {
        return driver.step("v2", state, isDrained, now).load.value_or("none");
    }
};

// Guards against a load without permission, and against one that breaks off requests that would
// have ended in time.
TEST(EndpointDriver, LoadsAfterPermissionAndDrain)
{
    STRCMP_EQUAL("none", load(serving("v1"), true).c_str());
    CHECK_TRUE(driver.isInService());
    driver.permit(Start);
    CHECK_FALSE(driver.isInService());
    STRCMP_EQUAL("none", load(serving("v1"), false).c_str());
    STRCMP_EQUAL("v2", load(serving("v1"), true).c_str());
    STRCMP_EQUAL("v2", load(serving("v1"), false, Start + DrainBound).c_str());
    STRCMP_EQUAL("none", load({"v1", {}, "v2", {}, 1}, true).c_str());
    CHECK_FALSE(driver.isInService());
    STRCMP_EQUAL("none", load(serving("v2"), true).c_str());
    CHECK_TRUE(driver.isInService());
}

// Guards against a driver that sends commands while a former one may still send its own to an
// engine that obeys both.
TEST(EndpointDriver, WaitsForTheFormerDriverWhereOldCommandsAreObeyed)
{
    driver = EndpointDriver{EndpointDriver::OldCommands::Obeyed, Start};
    driver.permit(Start);
    STRCMP_EQUAL("none", load(serving("v1"), true, Start + TakeoverDelay - 1ms).c_str());
    STRCMP_EQUAL("v2", load(serving("v1"), true, Start + TakeoverDelay).c_str());
}

// Guards against an endpoint that gets requests while it loads under a former driver's command,
// and against an engine that crashes in the load and counts as done.
TEST(EndpointDriver, KeepsAnEndpointOutUntilItsStateIsSeen)
{
    CHECK(driver.step("v2", std::nullopt, true, Start).phase == EndpointPhase::Unreachable);
    CHECK(driver.step("v2", EngineState{"v1", {}, "v2", {}, 1}, true, Start).phase
          == EndpointPhase::Changing);
    CHECK(driver.step("v2", std::nullopt, true, Start).phase == EndpointPhase::Changing);
    CHECK_FALSE(driver.isInService());
}

// Guards against a version that is tried again and again, and against an engine that stays without
// a version after it failed.
TEST(EndpointDriver, GoesBackAfterAFailedLoad)
{
    driver.permit(Start);
    STRCMP_EQUAL("none", load({"v1", {}, {}, "v2", 1}, true).c_str());
    CHECK_TRUE(driver.isInService());
    STRCMP_EQUAL("v1", load({{}, "v1", {}, "v2", 1}, true).c_str());
    CHECK_FALSE(driver.isInService());
    const auto over = driver.step("v1", EngineState{"v1", {}, {}, "v2", 1}, true, Start);
    STRCMP_EQUAL("v1", over.load.value_or("none").c_str());
    CHECK(over.phase == EndpointPhase::Serving);
}
