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

// Schedules are long, and smaller ones would hardly tell more, so only the seed is generated.
std::uint64_t anySeed()
{
    return *rc::gen::noShrink(
            rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

// One endpoint as it is, whatever its coordinator knows.
struct Endpoint
{
    std::string version = "v1";
    bool isChanging = false;
    std::uint64_t sequence = 0;
    // A permission that is in transit until then.
    std::optional<SteadyTime> replyUntil;
};

// The endpoints of a model, their drivers, and the coordinator that may be replaced. Reports and
// replies are lost or delayed.
class RolloutFleet
{
public:
    explicit RolloutFleet(double share)
        : m_limits{share, 3}
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
                    nextFrom(index, [](const Endpoint &e) { return e.replyUntil.has_value(); }));
        else if (kind == 8)
            finish(nextFrom(index, [](const Endpoint &e) { return e.isChanging; }));
        else if (kind == 9 && m_now >= m_replacedAt + TakeoverDelay)
            replaceCoordinator();
    }

    void reportAll()
    {
        for (std::size_t index = 0; index < EndpointCount; ++index)
            report(index, 3);
    }

    std::size_t changed() const { return m_changed; }

private:
    static std::string name(std::size_t index) { return "e-" + std::to_string(index); }

    // The first endpoint from the index on that the predicate holds for, or that of the index.
    template<typename Predicate>
    Endpoint &nextFrom(std::size_t index, Predicate predicate)
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
        // A driver waits for the reply before it reports again.
        if (endpoint.replyUntil && m_now <= *endpoint.replyUntil)
            return;
        endpoint.replyUntil.reset();
        const auto phase = endpoint.isChanging ? EndpointPhase::Changing : EndpointPhase::Serving;
        const EndpointReport sent{name(index), endpoint.version, {}, phase, 1, ++endpoint.sequence};
        const bool isLost = kind == 0;
        if (isLost)
            return;
        // The former coordinator may not know yet that it has been replaced.
        const bool isToFormer = kind == 1 && m_former && m_now < m_replacedAt + TakeoverDelay;
        RolloutPlanner &planner = isToFormer ? *m_former : *m_coordinator;
        const bool isReplyLost = kind == 2;
        if (!planner.report({sent}, m_now).empty() && !isReplyLost)
            endpoint.replyUntil = m_now + PermissionBound;
    }

    void deliverReply(Endpoint &endpoint)
    {
        const bool isInTime = endpoint.replyUntil && m_now <= *endpoint.replyUntil;
        endpoint.replyUntil.reset();
        if (!isInTime)
            return;
        endpoint.isChanging = true;
        check();
    }

    void finish(Endpoint &endpoint)
    {
        if (!endpoint.isChanging)
            return;
        endpoint.isChanging = false;
        endpoint.version = m_target.version;
        ++m_changed;
    }

    void check() const
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
    std::size_t m_changed = 0;
};

// An engine that loads at once, and the commands that are in transit to it.
class CommandedEngine
{
public:
    explicit CommandedEngine(EndpointDriver::OldCommands oldCommands)
        : m_oldCommands(oldCommands)
        , m_driver(oldCommands, m_now)
    { }

    void step(int kind, std::size_t choice)
    {
        m_now += 500ms;
        if (kind <= 2)
            drive();
        else if (kind <= 4 && !m_sent.empty())
            deliver(choice % m_sent.size());
        else if (kind == 5)
            m_wanted = "v" + std::to_string(choice % 4 + 1);
        else if (kind == 6)
            replaceDriver();
    }

    // Delivers all that is under way and lets the driver act on what it reads.
    void settle()
    {
        while (!m_sent.empty())
            deliver(m_sent.size() - 1);
        for (int round = 0; round < 20; ++round) {
            step(0, 0);
            if (!m_sent.empty())
                deliver(0);
        }
        RC_ASSERT(m_state.version == m_wanted);
    }

private:
    struct Command
    {
        std::uint64_t fencing;
        std::string version;
    };

    void replaceDriver()
    {
        ++m_fencing;
        m_driver = EndpointDriver(m_oldCommands, m_now);
    }

    void drive()
    {
        DriverStep next = m_driver.step(m_wanted, m_state, true, m_now);
        if (next.phase == EndpointPhase::Serving && m_state.version != m_wanted)
            m_driver.permit(m_now);
        if (next.load)
            m_sent.push_back({m_fencing, *next.load});
    }

    void deliver(std::size_t index)
    {
        const Command command = m_sent[index];
        m_sent.erase(m_sent.begin() + static_cast<std::ptrdiff_t>(index));
        const bool isOld = command.fencing < m_state.fencing;
        if (isOld && m_oldCommands == EndpointDriver::OldCommands::Rejected)
            return;
        // An engine that checks the numbers obeys them in their order only.
        RC_ASSERT(m_oldCommands == EndpointDriver::OldCommands::Obeyed
                  || command.fencing >= m_obeyed);
        m_obeyed = command.fencing;
        m_state.fencing = std::max(m_state.fencing, command.fencing);
        m_state.version = command.version;
    }

    const EndpointDriver::OldCommands m_oldCommands;
    SteadyTime m_now{1h};
    EndpointDriver m_driver;
    std::uint64_t m_fencing = 1;
    std::uint64_t m_obeyed = 0;
    std::string m_wanted = "v1";
    EngineState m_state{"v1", {}, {}, {}, 0};
    std::vector<Command> m_sent;
};

} // namespace

TEST_GROUP(RolloutProperties){};

// Guards against loads in two failure domains at once and against too few endpoints in service, at
// any schedule of lost reports, late replies and replaced coordinators.
TEST(RolloutProperties, NeverTwoDomainsNorBelowTheShare)
{
    std::size_t changed = 0;
    const bool isOk = rc::check("rollout", [&changed] {
        std::mt19937_64 random(anySeed());
        RolloutFleet fleet(random() % 2 == 0 ? 0.93 : 0.5);
        for (std::size_t number = 0; number < 1500; ++number) {
            int kind = static_cast<int>(random() % 11);
            // Replacements are rare, else hardly any coordinator lives to permit anything.
            if (kind == 9 && number % 50 != 0)
                kind = 3;
            const std::chrono::milliseconds pause{random() % 200};
            fleet.step(kind, pause, random() % EndpointCount);
            if (number % 40 == 0)
                fleet.reportAll();
        }
        changed += fleet.changed();
    });
    CHECK_TRUE(isOk);
    // The schedules have to let rollouts go on, or the bounds would hold for nothing.
    CHECK_COMPARE(changed, >, 500U);
}

// Guards against an engine that ends at the version of a former driver's late command.
TEST(RolloutProperties, EnginesEndAtTheWantedVersion)
{
    CHECK_TRUE(rc::check("commands", [] {
        std::mt19937_64 random(anySeed());
        CommandedEngine engine(random() % 2 == 0 ? EndpointDriver::OldCommands::Rejected
                                                 : EndpointDriver::OldCommands::Obeyed);
        for (int number = 0; number < 200; ++number) {
            const int kind = static_cast<int>(random() % 7);
            engine.step(kind, random() % 100);
        }
        engine.settle();
    }));
}
