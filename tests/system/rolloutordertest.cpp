#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int RolloutSeconds = 12;
// By the allowed exposure of 0.1 and the 50 requests that operators tolerate beyond it.
constexpr double MaxExposure = 0.1;
constexpr int ExposureSlack = 50;

/// Two versions of a service behind three instances, and callers that send all the time.
class RolloutFleet
{
public:
    RolloutFleet()
        : m_fleet(InstanceCount)
    {
        for (const char *id : {"old-1", "old-2"})
            m_fleet.startEndpoint(id, {"--event-gap-ms", "1"}, 8);
        m_fleet.writeConfig(1, {"key-1"}, 5000, 5000);
        for (int index = 0; index < InstanceCount; ++index)
            m_fleet.startInstance(index, {"[rollouts]", "max_exposure = 0.1"});
        for (int index = 0; index < InstanceCount; ++index)
            CHECK(m_fleet.waitReady(index));
    }

    ~RolloutFleet() { stopCallers(); }
    RolloutFleet(const RolloutFleet &) = delete;
    RolloutFleet &operator=(const RolloutFleet &) = delete;

    void startNewVersion()
    {
        m_fleet.setVersion("v2");
        for (const char *id : {"new-1", "new-2"})
            m_fleet.startEndpoint(id, {"--event-gap-ms", "1"}, 8);
    }

    void startCallers()
    {
        for (int index = 0; index < InstanceCount; ++index)
            m_callers.emplace_back([this, index] { send(index); });
    }

    void stopCallers()
    {
        m_isDone = true;
        for (std::thread &caller : m_callers)
            caller.join();
        m_callers.clear();
    }

    bool waitState(const std::string &state, seconds timeout)
    {
        return waitUntil(timeout, [&] {
            return fleet().stored("rollouts").find("\"state\":\"" + state + "\"")
                    != std::string::npos;
        });
    }

    /// The number of requests that ran at the endpoints of the new version.
    int runsOfNewVersion()
    {
        int lines = 0;
        for (const char *id : {"new-1", "new-2"}) {
            const std::string seen = fleet().seen(id);
            lines += static_cast<int>(std::count(seen.begin(), seen.end(), '='));
        }
        return lines;
    }

    SpaceFleet &fleet() { return m_fleet; }
    int sent() const { return m_sent; }
    int refused() const { return m_refused; }
    /// Stops the calls to an instance that is about to be killed.
    void leaveOut(int index) { m_leftOut = index; }

private:
    static constexpr int InstanceCount = 3;

    void send(int index)
    {
        for (int request = 0; !m_isDone && m_leftOut != index; ++request) {
            const std::string id = "r" + std::to_string(index) + "-" + std::to_string(request);
            const HttpReply reply = m_fleet.call(index, "POST", "/plain/x", id, "hello");
            ++m_sent;
            m_refused += reply.status == 200 ? 0 : 1;
            std::this_thread::sleep_for(milliseconds{5});
        }
    }

    SpaceFleet m_fleet;
    std::vector<std::thread> m_callers;
    std::atomic<int> m_sent{0};
    std::atomic<int> m_refused{0};
    std::atomic<int> m_leftOut{-1};
    std::atomic<bool> m_isDone{false};
};

} // namespace

TEST_GROUP(RolloutOrder){};

// Guards against a sound version that is not complete by its deadline, and against requests at the
// former endpoints when they may end.
TEST(RolloutOrder, SoundVersionBecomesComplete)
{
    RolloutFleet rollout;
    rollout.startCallers();
    rollout.startNewVersion();
    rollout.fleet().orderRollout("chat", "v2", RolloutSeconds);
    CHECK(rollout.waitState("complete", seconds{RolloutSeconds + 2}));
    const std::string seen = rollout.fleet().seen("old-1") + rollout.fleet().seen("old-2");
    std::this_thread::sleep_for(seconds{1});
    rollout.stopCallers();
    STRCMP_EQUAL(seen.c_str(),
                 (rollout.fleet().seen("old-1") + rollout.fleet().seen("old-2")).c_str());
    CHECK_EQUAL(0, rollout.refused());
}

// Guards against callers that meet a faulty version for long.
TEST(RolloutOrder, FailingVersionIsRolledBack)
{
    RolloutFleet rollout;
    rollout.startNewVersion();
    for (const char *id : {"new-1", "new-2"})
        rollout.fleet().setAnswers(id, "error", 100000);
    rollout.fleet().orderRollout("chat", "v2", RolloutSeconds);
    rollout.startCallers();
    CHECK(rollout.waitState("rolled_back", seconds{RolloutSeconds}));
    std::this_thread::sleep_for(seconds{1});
    const int runs = rollout.runsOfNewVersion();
    std::this_thread::sleep_for(seconds{1});
    rollout.stopCallers();
    CHECK_EQUAL(runs, rollout.runsOfNewVersion());
    std::printf("runs at the faulty version: %d of %d requests\n", runs, rollout.sent());
    CHECK(runs <= MaxExposure * rollout.sent() + ExposureSlack);
    // Requests that may be repeated are answered by the other version.
    CHECK_EQUAL(0, rollout.refused());
}

// Guards against a rollout that ends with the instance that leads it.
TEST(RolloutOrder, OutlivesTwoInstances)
{
    RolloutFleet rollout;
    rollout.startCallers();
    rollout.startNewVersion();
    rollout.fleet().orderRollout("chat", "v2", RolloutSeconds);
    CHECK(rollout.waitState("running", seconds{5}));
    rollout.leaveOut(0);
    std::this_thread::sleep_for(milliseconds{500});
    rollout.fleet().instance(0).kill();
    std::this_thread::sleep_for(seconds{3});
    rollout.leaveOut(1);
    std::this_thread::sleep_for(milliseconds{500});
    rollout.fleet().instance(1).kill();
    CHECK(rollout.waitState("complete", seconds{RolloutSeconds + 5}));
    rollout.stopCallers();
}

// Guards against a faulty version that is used on because the store is away.
TEST(RolloutOrder, FailingVersionIsLeftDuringAnOutageOfTheStore)
{
    RolloutFleet rollout;
    rollout.startNewVersion();
    rollout.fleet().orderRollout("chat", "v2", RolloutSeconds);
    rollout.startCallers();
    CHECK(waitUntil(seconds{8}, [&] { return rollout.runsOfNewVersion() > 0; }));
    rollout.fleet().setStore("down");
    for (const char *id : {"new-1", "new-2"})
        rollout.fleet().setAnswers(id, "error", 100000);
    // The time within which nothing may be sent anymore.
    std::this_thread::sleep_for(seconds{5});
    const int runs = rollout.runsOfNewVersion();
    std::this_thread::sleep_for(seconds{1});
    CHECK_EQUAL(runs, rollout.runsOfNewVersion());
    rollout.fleet().setStore("ok");
    CHECK(rollout.waitState("rolled_back", seconds{5}));
    rollout.stopCallers();
}

// Guards against traffic that moves by an order that can not be read.
TEST(RolloutOrder, UnreadableOrderChangesNothing)
{
    RolloutFleet rollout;
    rollout.startNewVersion();
    rollout.fleet().writeRollout("chat", R"({"service":"chat","to":7.5,"over_s":"soon"})");
    rollout.startCallers();
    std::this_thread::sleep_for(seconds{2});
    rollout.stopCallers();
    CHECK_EQUAL(0, rollout.refused());
    CHECK(rollout.fleet().stored("rollouts").find("\"state\"") == std::string::npos);
}
