#include "node/ratechanges.h"

#include "base/manualclock.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

RuleSet::Ptr makeRules(const std::vector<std::string> &limits)
{
    std::vector<std::string> lines;
    for (const std::string &limit : limits)
        lines.push_back("organisation " + limit + " # by Ana: contract");
    return valueOf(RuleSet::create(lines));
}

} // namespace

TEST_GROUP(RateChanges)
{
    const SteadyTime start = ManualClock().now();
    const HolderId self{"self", 1};
    ShardRateLimiter holder{self};

    void setup() override
    {
        holder.setTable({1, {Shard{{{self, 1, false}, {self, 1, false}}}}}, start);
    }

    // How many tokens are granted at once; 0 for an unknown organisation.
    int drain(const char *organisation, SteadyTime now)
    {
        int granted = 0;
        while (std::holds_alternative<TokensGranted>(holder.request(organisation, 1, 0ms, now)))
            ++granted;
        return granted;
    }
};

// Guards against a change that is missed or goes to the neighbour when organisations are added,
// removed and changed at the front, in the middle and at the end of the list.
TEST(RateChanges, EachOrganisationFollowsItsOwnRule)
{
    const auto before = makeRules({"b rate=100 burst=10", "c rate=100 burst=10",
                                   "d rate=100 burst=10", "f rate=100 burst=10"});
    const auto after = makeRules({"a rate=100 burst=3", "b rate=100 burst=10", "d rate=100 burst=4",
                                  "e rate=100 burst=5"});
    holder.setRates(allLimits(*before), start);
    applyRateChanges(holder, *before, *after, start);
    const SteadyTime later = start + 10s;
    CHECK_EQUAL(3, drain("a", later));
    CHECK_EQUAL(10, drain("b", later));
    CHECK_EQUAL(0, drain("c", later));
    CHECK_EQUAL(4, drain("d", later));
    CHECK_EQUAL(5, drain("e", later));
    CHECK_EQUAL(0, drain("f", later));
}

// Guards against an unchanged rule that touches its bucket.
TEST(RateChanges, UnchangedRuleKeepsItsBucket)
{
    const auto rules = makeRules({"a rate=100 burst=10"});
    holder.setRates(allLimits(*rules), start);
    CHECK_EQUAL(10, drain("a", start + 10s));
    applyRateChanges(holder, *rules, *makeRules({"a rate=100 burst=10"}), start + 10s);
    CHECK_EQUAL(0, drain("a", start + 10s));
    CHECK_EQUAL(1, holder.bucketCount());
}
