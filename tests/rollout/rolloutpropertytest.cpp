#include "rollout/endpointdriver.h"
#include "rollout/rolloutplanner.h"
#include "rollout/rollouttimes.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t EndpointCount = 16;
constexpr std::size_t DomainSize = 8;

// Only the seed of a schedule is generated, without shrinking: schedules are long, and a shrunk
// seed would not make a failure easier to understand.
std::uint64_t arbitrarySeed()
{
    return *rc::gen::noShrink(
            rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

// The actual state of an endpoint, which its coordinator may not know.
struct Endpoint
{
    std::string version = "v1";
    bool isChanging = false;
    std::uint64_t sequence = 0;
    // Set while a permission is in transit; it is discarded after this time.
    std::optional<SteadyTime> replyDeadline;
};

// Simulates the endpoints of a model, their drivers and a coordinator that is sometimes replaced.
// Reports and replies may be lost or delayed.
class SimulatedRollout
{
public:
    explicit SimulatedRollout(double requiredInService)
        : m_limits{requiredInService, 3}
    {
        m_target.version = "v2";
        for (std::size_t index = 0; index < EndpointCount; ++index)
            m_target.endpoints[name(index)] = {index < DomainSize ? "east-a" : "east-b", true};
        replaceCoordinator();
    }

    void step(int kind, std::chrono::milliseconds pause, std::size_t index)
    {
        m_now += pause;
        if (kind <= 5)
            report(index, kind);
        else if (kind <= 7)
            deliverReply(
                    findFrom(index, [](const Endpoint &e) { return e.replyDeadline.has_value(); }));
        else if (kind == 8)
            finish(findFrom(index, [](const Endpoint &e) { return e.isChanging; }));
        else if (kind == 9 && m_now >= m_replacedAt + TakeoverDelay)
            replaceCoordinator();
    }

    void reportAll()
    {
        for (std::size_t index = 0; index < EndpointCount; ++index)
            report(index, 3);
    }

    std::size_t changedCount() const { return m_changedCount; }

private:
    static std::string name(std::size_t index) { return "e-" + std::to_string(index); }

    // Returns the first endpoint at or after the index, cyclically, that matches the predicate, or
    // the endpoint at the index if none does.
    template<typename Predicate>
    Endpoint &findFrom(std::size_t index, Predicate predicate)
    {
        for (std::size_t offset = 0; offset < EndpointCount; ++offset) {
            Endpoint &endpoint = m_endpoints[(index + offset) % EndpointCount];
            if (predicate(endpoint))
                return endpoint;
        }
        return m_endpoints[index];
    }

    void replaceCoordinator()
    {
        m_former = std::move(m_coordinator);
        m_coordinator = std::make_unique<RolloutPlanner>(m_now);
        m_coordinator->setTarget(m_target, m_limits);
        m_replacedAt = m_now;
    }

    void report(std::size_t index, int kind)
    {
        Endpoint &endpoint = m_endpoints[index];
        // A driver sends no report while it waits for a reply.
        if (endpoint.replyDeadline && m_now <= *endpoint.replyDeadline)
            return;
        endpoint.replyDeadline.reset();
        const auto phase = endpoint.isChanging ? EndpointPhase::Changing : EndpointPhase::Serving;
        const EndpointReport sent{name(index), endpoint.version, {}, phase, 1, ++endpoint.sequence};
        const bool isLost = kind == 0;
        if (isLost)
            return;
        // A former coordinator may not have learned yet that it was replaced.
        const bool isSentToFormer = kind == 1 && m_former && m_now < m_replacedAt + TakeoverDelay;
        RolloutPlanner &planner = isSentToFormer ? *m_former : *m_coordinator;
        const bool isReplyLost = kind == 2;
        if (!planner.report({sent}, m_now).empty() && !isReplyLost)
            endpoint.replyDeadline = m_now + PermissionTimeout;
    }

    void deliverReply(Endpoint &endpoint)
    {
        const bool isInTime = endpoint.replyDeadline && m_now <= *endpoint.replyDeadline;
        endpoint.replyDeadline.reset();
        if (!isInTime)
            return;
        endpoint.isChanging = true;
        checkLimits();
    }

    void finish(Endpoint &endpoint)
    {
        if (!endpoint.isChanging)
            return;
        endpoint.isChanging = false;
        endpoint.version = m_target.version;
        ++m_changedCount;
    }

    void checkLimits() const
    {
        std::set<bool> domains;
        std::size_t changing = 0;
        for (std::size_t index = 0; index < EndpointCount; ++index) {
            if (!m_endpoints[index].isChanging)
                continue;
            domains.insert(index < DomainSize);
            ++changing;
        }
        RC_ASSERT(domains.size() <= 1);
        RC_ASSERT(changing <= DomainSize / 4);
        RC_ASSERT(static_cast<double>(EndpointCount - changing)
                  >= m_limits.minInService * EndpointCount);
    }

    const RolloutLimits m_limits;
    RolloutTarget m_target;
    SteadyTime m_now{1h};
    std::array<Endpoint, EndpointCount> m_endpoints;
    std::unique_ptr<RolloutPlanner> m_coordinator;
    std::unique_ptr<RolloutPlanner> m_former;
    SteadyTime m_replacedAt;
    std::size_t m_changedCount = 0;
};

// Simulates an engine that loads instantly, its driver, and the commands in flight between them.
class SimulatedEngine
{
public:
    explicit SimulatedEngine(EndpointDriver::StaleCommands staleCommands)
        : m_staleCommands(staleCommands)
        , m_driver(staleCommands, m_now)
    { }

    void step(int kind, std::size_t choice)
    {
        m_now += 500ms;
        if (kind <= 2)
            drive();
        else if (kind <= 4 && !m_commandsInFlight.empty())
            deliver(choice % m_commandsInFlight.size());
        else if (kind == 5)
            m_desiredVersion = "v" + std::to_string(choice % 4 + 1);
        else if (kind == 6)
            replaceDriver();
    }

    // Delivers all commands in flight and runs the driver until the engine has the desired version.
    void settle()
    {
        while (!m_commandsInFlight.empty())
            deliver(m_commandsInFlight.size() - 1);
        for (int round = 0; round < 20; ++round) {
            step(0, 0);
            if (!m_commandsInFlight.empty())
                deliver(0);
        }
        RC_ASSERT(m_state.version == m_desiredVersion);
    }

private:
    struct Command
    {
        std::uint64_t fencingToken;
        std::string version;
    };

    void replaceDriver()
    {
        ++m_fencingToken;
        m_driver = EndpointDriver(m_staleCommands, m_now);
    }

    void drive()
    {
        DriverStep next = m_driver.step(m_desiredVersion, m_state, true, m_now);
        if (next.phase == EndpointPhase::Serving && m_state.version != m_desiredVersion)
            m_driver.permit(m_now);
        if (next.versionToLoad)
            m_commandsInFlight.push_back({m_fencingToken, *next.versionToLoad});
    }

    void deliver(std::size_t index)
    {
        const Command command = m_commandsInFlight[index];
        m_commandsInFlight.erase(m_commandsInFlight.begin() + static_cast<std::ptrdiff_t>(index));
        const bool isStale = command.fencingToken < m_state.fencingToken;
        if (isStale && m_staleCommands == EndpointDriver::StaleCommands::Rejected)
            return;
        // An engine that checks fencing tokens executes commands in non-decreasing order of token
        // only.
        RC_ASSERT(m_staleCommands == EndpointDriver::StaleCommands::Executed
                  || command.fencingToken >= m_lastExecuted);
        m_lastExecuted = command.fencingToken;
        m_state.fencingToken = std::max(m_state.fencingToken, command.fencingToken);
        m_state.version = command.version;
    }

    const EndpointDriver::StaleCommands m_staleCommands;
    SteadyTime m_now{1h};
    EndpointDriver m_driver;
    std::uint64_t m_fencingToken = 1;
    std::uint64_t m_lastExecuted = 0;
    std::string m_desiredVersion = "v1";
    EngineState m_state{"v1", {}, {}, {}, 0};
    std::vector<Command> m_commandsInFlight;
};

} // namespace

TEST_GROUP(RolloutProperties){};

// Guards against changes in two failure domains at once and against too few endpoints in service,
// for arbitrary schedules of lost reports, delayed replies and coordinator replacements.
TEST(RolloutProperties, ChangesOneDomainAndKeepsMinimumInService)
{
    std::size_t changed = 0;
    const bool isOk = rc::check("rollout", [&changed] {
        std::mt19937_64 random(arbitrarySeed());
        SimulatedRollout rollout(random() % 2 == 0 ? 0.93 : 0.5);
        for (std::size_t number = 0; number < 1500; ++number) {
            int kind = static_cast<int>(random() % 11);
            // Coordinators are replaced rarely; otherwise hardly any of them would get past its
            // startup delay and permit anything.
            if (kind == 9 && number % 50 != 0)
                kind = 3;
            const std::chrono::milliseconds pause{random() % 200};
            rollout.step(kind, pause, random() % EndpointCount);
            if (number % 40 == 0)
                rollout.reportAll();
        }
        changed += rollout.changedCount();
    });
    CHECK_TRUE(isOk);
    // The schedules must let rollouts make progress; otherwise the limits hold trivially.
    CHECK_COMPARE(changed, >, 500U);
}

// Guards against an engine that ends up with the version of a delayed command of a former driver.
TEST(RolloutProperties, EnginesEndAtTheDesiredVersion)
{
    CHECK_TRUE(rc::check("commands", [] {
        std::mt19937_64 random(arbitrarySeed());
        SimulatedEngine engine(random() % 2 == 0 ? EndpointDriver::StaleCommands::Rejected
                                                 : EndpointDriver::StaleCommands::Executed);
        for (int number = 0; number < 200; ++number) {
            const int kind = static_cast<int>(random() % 7);
            engine.step(kind, random() % 100);
        }
        engine.settle();
    }));
}
