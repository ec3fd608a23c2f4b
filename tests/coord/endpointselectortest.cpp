#include "coord/endpointselector.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr EndpointSelector::TimePoint Start{seconds{100}};

const std::vector<std::string> six{"e-1", "e-2", "e-3", "e-4", "e-5", "e-6"};

SelectionRequest withPrefix(std::uint64_t prefix)
{
    return {WorkClass::Online, prefix};
}

} // namespace

TEST_GROUP(EndpointSelector){};

// Guards against a selection that ignores load and overloads a busy endpoint.
TEST(EndpointSelector, PowerOfTwoAvoidsTheBusiestEndpoint)
{
    EndpointSelector selector(PowerOfTwoChoices{}, 1);
    selector.setLoad("busy", {8, 8, 4}, Start);
    selector.setLoad("b", {1, 8, 0}, Start);
    selector.setLoad("c", {1, 8, 0}, Start);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 300; ++i)
        ++chosen[selector.choose({"busy", "b", "c"}, Start).value()];
    CHECK_EQUAL(0, chosen["busy"]);
    CHECK(chosen["b"] > 100);
    CHECK(chosen["c"] > 100);
}

// Guards against an online request that waits behind online requests at one endpoint while another
// one could revoke a batch slot for it.
TEST(EndpointSelector, OnlineRequestsPreferEndpointsFullOfBatch)
{
    EndpointSelector selector(PowerOfTwoChoices{}, 1);
    selector.setLoad("online", {8, 8, 0}, Start);
    selector.setLoad("batch", {8, 8, 0, 6}, Start);
    CHECK(selector.revocableAge("batch", Start) == milliseconds{0});
    CHECK_FALSE(selector.revocableAge("online", Start).has_value());
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL("batch", selector.choose({"online", "batch"}, Start).value().c_str());
}

// Guards against an endpoint that was last reported busy and never gets a request again, because
// only the answer to a request updates its load. This happens, for example, when an endpoint is
// taken out of service and returns.
TEST(EndpointSelector, AnEndpointLastReportedBusyIsChosenAgain)
{
    EndpointSelector selector(PowerOfTwoChoices{}, 1);
    selector.setLoad("returned", {2, 2, 0}, Start);
    const auto later = Start + EndpointSelector::LoadLifetime + milliseconds{1};
    std::map<std::string, int> chosen;
    for (int i = 0; i < 100; ++i) {
        selector.setLoad("b", {1, 8, 0}, later);
        ++chosen[selector.choose({"returned", "b"}, later).value()];
    }
    CHECK_EQUAL(100, chosen["returned"]);
}

TEST(EndpointSelector, RoundRobinTakesTurns)
{
    EndpointSelector selector(RoundRobin{}, 1);
    STRCMP_EQUAL("a", selector.choose({"a", "b"}, Start).value().c_str());
    STRCMP_EQUAL("b", selector.choose({"a", "b"}, Start).value().c_str());
    STRCMP_EQUAL("a", selector.choose({"a", "b"}, Start).value().c_str());
}

TEST(EndpointSelector, NoCandidatesGiveNothing)
{
    EndpointSelector selector(PowerOfTwoChoices{}, 1);
    CHECK_FALSE(selector.choose({}, Start).has_value());
}

// Guards against a request that waits in the queue of a full endpoint while another one is idle.
TEST(EndpointSelector, AFullEndpointIsChosenOnlyWhenAllAreFull)
{
    EndpointSelector selector(PowerOfTwoChoices{}, 1);
    for (const char *full : {"e-1", "e-2", "e-3", "e-4", "e-5"})
        selector.setLoad(full, {8, 8, 0}, Start);
    for (int i = 0; i < 50; ++i)
        STRCMP_EQUAL("e-6", selector.choose(six, Start).value().c_str());
    CHECK_FALSE(selector.areAllFull(six, Start, WorkClass::Online));
    selector.setLoad("e-6", {6, 8, 0}, Start);
    CHECK_FALSE(selector.areAllFull(six, Start, WorkClass::Online));
    CHECK_TRUE(selector.areAllFull(six, Start, WorkClass::Batch));
    selector.setLoad("e-6", {8, 8, 0}, Start);
    CHECK_TRUE(selector.areAllFull(six, Start, WorkClass::Online));
    const auto later = Start + EndpointSelector::LoadLifetime + milliseconds{1};
    CHECK_FALSE(selector.areAllFull(six, later, WorkClass::Online));
}

// Guards against instances that choose different endpoints for the same conversation.
TEST(EndpointSelector, InstancesAgreeOnTheEndpointOfAPrefix)
{
    EndpointSelector first(PrefixAffinity{}, 1);
    EndpointSelector second(PrefixAffinity{}, 2);
    const std::vector<std::string> reversed(six.rbegin(), six.rend());
    std::map<std::string, int> chosen;
    for (std::uint64_t prefix = 0; prefix < 600; ++prefix) {
        const auto choice = first.choose(six, Start, withPrefix(prefix)).value();
        CHECK_TRUE(choice == second.choose(reversed, Start, withPrefix(prefix)).value());
        ++chosen[choice];
    }
    for (const std::string &name : six)
        CHECK(chosen[name] > 50);
}

// Guards against a leaving endpoint that causes prefixes cached by other endpoints to move.
TEST(EndpointSelector, OnlyThePrefixesOfALeavingEndpointMove)
{
    EndpointSelector selector(PrefixAffinity{}, 1);
    const std::vector<std::string> rest(six.begin() + 1, six.end());
    for (std::uint64_t prefix = 0; prefix < 600; ++prefix) {
        const auto before = selector.choose(six, Start, withPrefix(prefix)).value();
        const auto after = selector.choose(rest, Start, withPrefix(prefix)).value();
        CHECK_TRUE(before == after || before == "e-1");
    }
}

// Guards against a hot prefix that fills one endpoint while others are idle.
TEST(EndpointSelector, AHotPrefixDoesNotOverloadOneEndpoint)
{
    EndpointSelector selector(PrefixAffinity{}, 1);
    std::map<std::string, int> inFlight;
    for (int i = 0; i < 40; ++i) {
        const auto choice = selector.choose(six, Start, withPrefix(7)).value();
        selector.setLoad(choice, {++inFlight[choice], 8, 0}, Start);
    }
    CHECK_EQUAL(6U, inFlight.size());
    for (const auto &[name, count] : inFlight)
        CHECK(count <= 8);
}

// Guards against instances that disagree on the second choice.
TEST(EndpointSelector, TheSecondEndpointTakesOverFromABusyOne)
{
    EndpointSelector first(PrefixAffinity{}, 1);
    EndpointSelector second(PrefixAffinity{}, 2);
    const auto preferred = first.choose(six, Start, withPrefix(7)).value();
    first.setLoad(preferred, {7, 8, 0}, Start);
    second.setLoad(preferred, {8, 8, 3}, Start);
    const auto other = first.choose(six, Start, withPrefix(7)).value();
    CHECK_TRUE(other != preferred);
    for (int i = 0; i < 20; ++i)
        CHECK_TRUE(other == second.choose(six, Start, withPrefix(7)).value());
}

// Guards against a prefix that avoids its endpoint long after the endpoint was last busy.
TEST(EndpointSelector, APrefixReturnsSoonToItsEndpoint)
{
    EndpointSelector selector(PrefixAffinity{}, 1);
    const auto preferred = selector.choose(six, Start, withPrefix(7)).value();
    selector.setLoad(preferred, {8, 8, 0}, Start);
    CHECK_TRUE(preferred != selector.choose(six, Start, withPrefix(7)).value());
    const auto later = Start + EndpointSelector::PrefixLoadLifetime + milliseconds{1};
    CHECK_TRUE(preferred == selector.choose(six, later, withPrefix(7)).value());
}
