#include "system/configwatch.h"
#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The bound on the time after which an endpoint that drains gets no new requests.
constexpr milliseconds DrainBound{2000};

// A fleet with a configuration and an endpoint, and a watch of what its instances have in force.
class ConfigFleet
{
public:
    explicit ConfigFleet(int instances)
        : m_instances(instances)
        , m_fleet(instances, SpaceFleet::StorePath::Proxied)
    {
        m_fleet.startEndpoint("i-1");
        m_fleet.writeConfig(m_version, {"key-1"});
        for (int index = 0; index < instances; ++index)
            m_fleet.startInstance(index);
        for (int index = 0; index < instances; ++index)
            CHECK(m_fleet.waitReady(index));
        m_watch = std::make_unique<ConfigWatch>(m_fleet, instances);
        m_watch->acknowledged(m_version);
    }

    // The time for which the instances are undisturbed before a fault.
    void settle() { std::this_thread::sleep_for(milliseconds{1500}); }

    // Writes a configuration of which the store's acknowledgement has arrived on return.
    int change()
    {
        m_fleet.writeConfig(++m_version, {"key-1"});
        m_watch->acknowledged(m_version);
        return m_version;
    }

    // The watches that are open now are never answered, for which instances are disturbed a moment.
    void muteWatches()
    {
        m_fleet.muteWatches();
        disturbAll();
    }

    void disturbAll()
    {
        for (int index = 0; index < m_instances; ++index)
            m_watch->disturb(index);
    }

    void restart(int index)
    {
        m_watch->restarted(index);
        m_fleet.instance(index).kill();
        m_fleet.startInstance(index);
        m_watch->restarted(index);
    }

    void pause(int index, milliseconds time)
    {
        m_watch->disturb(index);
        m_fleet.instance(index).signal(SIGSTOP);
        std::this_thread::sleep_for(time);
        m_fleet.instance(index).signal(SIGCONT);
        m_watch->disturb(index);
    }

    int instances() const { return m_instances; }
    SpaceFleet &fleet() { return m_fleet; }
    ConfigWatch &watch() { return *m_watch; }

private:
    int m_instances;
    int m_version = 1;
    SpaceFleet m_fleet;
    std::unique_ptr<ConfigWatch> m_watch;
};

// Changes in quick succession and of growing size, beside faults that the seed draws.
void playChangesWithFaults(std::uint32_t seed)
{
    std::printf("seed %u\n", static_cast<unsigned>(seed));
    std::mt19937 random(seed);
    const auto draw = [&random](int most) {
        return std::uniform_int_distribution(0, most)(random);
    };
    ConfigFleet config(4);
    config.settle();
    int version = 0;
    for (int step = 0; step < 40; ++step) {
        const int index = draw(config.instances() - 1);
        switch (draw(7)) {
        case 0:
            config.muteWatches();
            break;
        case 1:
            config.watch().disturb(index);
            config.fleet().setStorePath(index, "mode=freeze");
            break;
        case 2:
            config.watch().disturb(index);
            config.fleet().setStorePath(index, "mode=half-open");
            break;
        case 3:
            config.restart(index);
            break;
        case 4:
            config.pause(index, milliseconds{300 + draw(700)});
            break;
        case 5:
            config.fleet().setExtraRoutes(draw(400));
            break;
        default:
            break;
        }
        for (int count = draw(4); count >= 0; --count)
            version = config.change();
        std::this_thread::sleep_for(milliseconds{draw(600)});
    }
    CHECK(config.watch().waitInForce(version, ConfigWatch::ChangeBound + ConfigWatch::ContactTime));
    STRCMP_EQUAL("", config.watch().violations().c_str());
}

} // namespace

TEST_GROUP(Config){};

// Guards against a change that waits for the timeout of watches that nobody will answer.
TEST(Config, ChangeIsInForceThoughTheWatchesOfAllInstancesAreSilent)
{
    ConfigFleet config(3);
    config.settle();
    config.muteWatches();
    std::this_thread::sleep_for(seconds{1});
    CHECK(config.watch().waitInForce(config.change()));
}

// Guards against an instance without peers that trusts its own silent watch.
TEST(Config, ChangeIsInForceAtALoneInstanceWhoseConnectionsAreSilent)
{
    ConfigFleet config(1);
    config.settle();
    config.fleet().setStorePath(0, "mode=freeze");
    config.watch().disturb(0);
    std::this_thread::sleep_for(seconds{1});
    CHECK(config.watch().waitInForce(config.change()));
}

// Guards against instances that repeat a watch which the store refuses, while listings work.
TEST(Config, ChangeIsInForceThoughTheStoreRefusesWatches)
{
    ConfigFleet config(3);
    config.settle();
    config.fleet().setStore("refuse-watches");
    config.disturbAll();
    // The watches that were open before report this change.
    config.change();
    CHECK(config.watch().waitInForce(config.change(),
                                     ConfigWatch::ChangeBound + ConfigWatch::StoreDisturbedBound));
}

// Guards against instances that repeat a watch whose answer they can not read.
TEST(Config, ChangeIsInForceThoughAnswersToWatchesAreUnreadable)
{
    ConfigFleet config(3);
    config.settle();
    config.fleet().setStore("garble-watches");
    config.disturbAll();
    CHECK(config.watch().waitInForce(config.change(),
                                     ConfigWatch::ChangeBound + ConfigWatch::StoreDisturbedBound));
}

// Guards against requests to an endpoint that drains, which the instances miss for the same reason.
TEST(Config, DrainingEndpointGetsNoRequestsThoughWatchesAreSilent)
{
    ConfigFleet config(3);
    config.fleet().startEndpoint("i-2");
    config.settle();
    config.muteWatches();
    std::this_thread::sleep_for(seconds{1});
    config.fleet().drainEndpoint("i-2");
    std::this_thread::sleep_for(DrainBound);
    const std::string before = config.fleet().seen("i-2");
    for (int request = 0; request < 30; ++request) {
        const std::string id = "r" + std::to_string(request);
        const auto reply = config.fleet().call(request % 3, "POST", "/plain/x", id, "hello");
        CHECK_EQUAL(200U, reply.status);
    }
    STRCMP_EQUAL(before.c_str(), config.fleet().seen("i-2").c_str());
}

// Guards against versions that are late or go back under many changes and faults in series.
TEST(Config, NoVersionIsLateOrGoesBackUnderChangesAndFaults)
{
    if (const char *seed = std::getenv("PF_TEST_SEED")) {
        playChangesWithFaults(static_cast<std::uint32_t>(std::strtoul(seed, nullptr, 10)));
        return;
    }
    for (const std::uint32_t seed : {1U, 2U})
        playChangesWithFaults(seed);
}
