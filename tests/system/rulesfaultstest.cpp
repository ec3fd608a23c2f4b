#include "system/echoservice.h"
#include "system/fleet.h"
#include "system/versionwatch.h"
#include "system/waituntil.h"

#include "coord/coordtimes.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using pistachiofall::IsolationTimeout;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

// The bound of R13.
constexpr seconds InForceBound{11};
constexpr seconds CallTimeout{5};
constexpr int Instances = 3;
constexpr int ExitConflict = 3;

std::string organisationRule(const std::string &name, int rate)
{
    return "organisation " + name + " rate=" + std::to_string(rate) + " burst=200 # by Ana: test\n";
}

// A fleet whose rules change one version at a time, each within the bound on every instance.
class RulesUnderFaults
{
public:
    explicit RulesUnderFaults(int failureDomains)
        : m_fleet(options(failureDomains))
    {
        CHECK_EQUAL(0, m_fleet.applyRules(organisationRule("acme", 200)));
        m_fleet.startInstances();
        m_watch = std::make_unique<VersionWatch>(m_fleet, Instances);
        CHECK(m_watch->waitEverywhere(1, InForceBound).has_value());
    }

    void apply()
    {
        ++m_changes;
        CHECK_EQUAL(0, m_fleet.applyRules(organisationRule("acme", 200 + m_changes)));
        ++m_version;
    }

    // Applies a new version and waits for it everywhere. The time counts from the moment at which
    // the operator had the answer.
    void change(const char *fault)
    {
        apply();
        checkInForce(fault, m_version);
    }

    void checkInForce(const char *fault, std::uint64_t version)
    {
        const auto accepted = steady_clock::now();
        const auto everywhere = m_watch->waitEverywhere(version, InForceBound);
        if (!everywhere)
            std::fputs(m_fleet.logs().c_str(), stderr);
        CHECK_TEXT(everywhere.has_value(), fault);
        const auto took = duration_cast<milliseconds>(*everywhere - accepted);
        std::printf("%s: everywhere %lld ms after the answer\n", fault,
                    static_cast<long long>(took.count()));
        for (int index = 0; index < Instances; ++index)
            CHECK_EQUAL(version, m_watch->version(index));
    }

    Fleet &fleet() { return m_fleet; }
    VersionWatch &watch() { return *m_watch; }
    std::uint64_t nextVersion() { return ++m_version; }

private:
    static FleetOptions options(int failureDomains)
    {
        FleetOptions options;
        options.instances = Instances;
        options.failureDomains = failureDomains;
        return options;
    }

    Fleet m_fleet;
    std::unique_ptr<VersionWatch> m_watch;
    std::uint64_t m_version = 1;
    int m_changes = 0;
};

} // namespace

TEST_GROUP(RulesFaults){};

// Guards against a change that an instance misses, or takes back, while the store is slow, an
// operator's answer is lost, or the way from one instance to the store is silent or cut.
TEST(RulesFaults, AcceptedChangeIsInForceEverywhereWhileTheStoreFails)
{
    // In one failure domain two instances watch the store and one depends on them.
    RulesUnderFaults rules(1);
    Fleet &fleet = rules.fleet();
    // Calls of the instances time out after 1 s.
    fleet.setPlatform("slow-ms=700");
    rules.change("store slow");
    fleet.setPlatform("slow-ms=0");

    fleet.setPlatform("lose-answers=1");
    rules.change("answer lost after the effect");

    fleet.setFault("store-0", "mode=freeze");
    rules.change("open watch of one instance silent");
    fleet.setFault("store-0", "mode=freeze-all");
    rules.change("way of one instance to the store silent");
    fleet.setFault("store-0", "mode=pass");

    fleet.setFault("store-1", "mode=cut");
    rules.change("way of one instance to the store cut");
    std::this_thread::sleep_for(seconds{5});
    rules.change("the same for 5 s");
    fleet.setFault("store-1", "mode=pass");

    for (const char *route : {"peer-0", "peer-1", "peer-2"})
        fleet.setFault(route, "mode=cut");
    rules.change("no instance reaches a peer");
    CHECK_EQUAL(0, rules.watch().reverts());
}

// Guards against an instance that takes an old state of the store for the newest: its watch tells
// of each change later than its peers do.
TEST(RulesFaults, LateEventsOfAWatchRevertNothing)
{
    RulesUnderFaults rules(Instances);
    rules.fleet().setFault("store-0", "mode=delay&delay-ms=800&direction=to-client");
    for (int round = 0; round < 2; ++round) {
        rules.apply();
        rules.apply();
        rules.change("events of one watch late");
    }
    // The late events come after the change was seen everywhere.
    std::this_thread::sleep_for(seconds{2});
    CHECK_EQUAL(0, rules.watch().reverts());
}

// Guards against watches that stay silent for good, on all instances at once, so that no peer can
// tell of a change.
TEST(RulesFaults, ChangeIsInForceWhenAllWatchesAreSilent)
{
    RulesUnderFaults rules(Instances);
    for (const char *route : {"store-0", "store-1", "store-2"})
        rules.fleet().setFault(route, "mode=freeze");
    rules.change("open watches of all instances silent");
    CHECK_EQUAL(0, rules.watch().reverts());
}

// Guards against two operators of whom both are told that their change is in force, and against
// instances that take the one that lost.
TEST(RulesFaults, OfTwoOperatorsAtOnceExactlyOneIsAccepted)
{
    RulesUnderFaults rules(Instances);
    std::string folder = (std::filesystem::temp_directory_path() / "pf-rules-XXXXXX").string();
    CHECK(mkdtemp(folder.data()) != nullptr);
    // Both read the version before either of them writes.
    rules.fleet().setPlatform("slow-ms=200");
    for (int round = 0; round < 2; ++round) {
        const std::uint64_t version = rules.nextVersion();
        std::array<std::string, 2> organisations;
        std::array<int, 2> exitCodes{-1, -1};
        std::array<std::thread, 2> operators;
        for (std::size_t number = 0; number < 2; ++number) {
            organisations[number] = "o" + std::to_string(round) + (number == 0 ? "a" : "b");
            const std::string file = folder + "/" + organisations[number];
            std::ofstream(file) << "# version " << version - 1 << "\n"
                                << organisationRule(organisations[number], 10);
            operators[number] = std::thread([&rules, &exitCodes, number, file] {
                std::string output;
                exitCodes[number] =
                        rules.fleet().runCli({"rules", "apply", file, "--store",
                                              rules.fleet().storeAddress(), "--author", "test"},
                                             output);
            });
        }
        for (std::thread &thread : operators)
            thread.join();
        CHECK_EQUAL(1, std::count(exitCodes.begin(), exitCodes.end(), 0));
        CHECK_EQUAL(1, std::count(exitCodes.begin(), exitCodes.end(), ExitConflict));
        rules.checkInForce("two operators", version);
        std::string shown;
        CHECK_EQUAL(0,
                    rules.fleet().runCli({"rules", "show", "--store", rules.fleet().storeAddress()},
                                         shown));
        CHECK(shown.find(organisations[exitCodes[0] == 0 ? 0 : 1]) != std::string::npos);
        CHECK(shown.find(organisations[exitCodes[0] == 0 ? 1 : 0]) == std::string::npos);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    CHECK_EQUAL(0, rules.watch().reverts());
}

namespace {

std::string keyedRules(const std::string &endpoints, const Fleet::Key &kept,
                       const Fleet::Key &leaked, bool isWithdrawn)
{
    return organisationRule("acme", 400) + kept.rule + " # by Ana: test\n" + leaked.rule
            + (isWithdrawn ? " state=withdrawn" : "") + " # by Ana: test\n" + endpoints;
}

} // namespace

// Guards against an instance that, started while the store is down, stays out of service or serves
// rules that are older than those of its peers: a key withdrawn while it was away stays withdrawn.
TEST(RulesFaults, InstanceStartedWithoutTheStoreTakesTheRulesOfItsPeers)
{
    FleetOptions options;
    options.instances = 4;
    Fleet fleet(options);
    const auto kept = fleet.makeKey("k1", "acme");
    const auto leaked = fleet.makeKey("k2", "acme");
    const std::string endpoints = startEchoService(fleet, 6);
    CHECK_EQUAL(0, fleet.applyRules(keyedRules(endpoints, kept, leaked, false)));
    // Instance 3 is listed before the outage, but starts only during it.
    fleet.unlistInstance(3);
    for (int index = 0; index < 3; ++index)
        fleet.startInstance(index);
    for (int index = 0; index < 3; ++index)
        CHECK(fleet.waitReady(index));
    VersionWatch watch(fleet, 4);
    CHECK(waitUntil(seconds{10},
                    [&] { return callEcho(fleet, 1, leaked.text, CallTimeout).status == 200; }));
    fleet.killInstance(1);
    fleet.listInstance(3);
    CHECK_EQUAL(0, fleet.applyRules(keyedRules(endpoints, kept, leaked, true)));
    for (const int index : {0, 2})
        CHECK(waitUntil(InForceBound, [&] { return watch.version(index) == 2; }));
    for (const int index : {0, 2}) {
        CHECK(waitUntil(InForceBound, [&] {
            return fleet.status(index).find(fleet.instanceName(3)) != std::string::npos;
        }));
    }
    fleet.setPlatform("mode=down");
    const auto down = steady_clock::now();
    // Without a peer there is nothing to be sure of.
    fleet.setFault("peer-1", "mode=cut");
    for (const char *route : {"peer-0", "peer-2", "peer-3"})
        fleet.setFault(route, "mode=cut");
    fleet.startInstance(1);
    const auto aloneUntil = steady_clock::now() + seconds{2};
    int served = 0;
    while (steady_clock::now() < aloneUntil) {
        served += httpGet(fleet.adminPort(1), "/readyz").status == 200 ? 1 : 0;
        served += callEcho(fleet, 1, leaked.text, CallTimeout).status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{50});
    }
    CHECK_EQUAL(0, served);
    for (const char *route : {"peer-0", "peer-1", "peer-2", "peer-3"})
        fleet.setFault(route, "mode=pass");
    fleet.startInstance(3);
    const auto begin = steady_clock::now();
    for (const int index : {1, 3}) {
        const bool isReady = waitUntil(InForceBound, [&] {
            served += callEcho(fleet, index, leaked.text, CallTimeout).status == 200 ? 1 : 0;
            return httpGet(fleet.adminPort(index), "/readyz").status == 200;
        });
        if (!isReady)
            std::fputs((fleet.logs() + fleet.status(index)).c_str(), stderr);
        CHECK(isReady);
        CHECK(waitUntil(InForceBound, [&] { return watch.version(index) == 2; }));
    }
    const auto took = duration_cast<milliseconds>(steady_clock::now() - begin);
    // Half of the listed members were away, and not known to have ended because the proxy accepts
    // their connections. When their own contact with the store is too old, the others stop until
    // more than half vouch: the two that started do so two heartbeats later.
    std::this_thread::sleep_until(down + IsolationTimeout + seconds{2});
    for (int index = 0; index < 4; ++index) {
        CHECK(waitUntil(InForceBound, [&] {
            return callEcho(fleet, index, kept.text, CallTimeout).status == 200;
        }));
    }
    std::array<int, 4> answered{};
    for (int round = 0; round < 20; ++round) {
        for (int index = 0; index < 4; ++index) {
            const auto number = static_cast<std::size_t>(index);
            const HttpReply reply = callEcho(fleet, index, kept.text, CallTimeout);
            answered[number] += reply.status == 200 ? 1 : 0;
            if (reply.status != 200)
                std::fputs(describe(reply).c_str(), stderr);
            served += callEcho(fleet, index, leaked.text, CallTimeout).status == 200 ? 1 : 0;
        }
    }
    std::printf("both ready after %lld ms; of 20 calls answered: %d %d %d %d\n",
                static_cast<long long>(took.count()), answered[0], answered[1], answered[2],
                answered[3]);
    CHECK_EQUAL(0, served);
    for (const int count : answered)
        CHECK_EQUAL(20, count);
    fleet.setPlatform("mode=up");
    CHECK(watch.waitEverywhere(2, InForceBound).has_value());
    CHECK_EQUAL(0, watch.reverts());
}
