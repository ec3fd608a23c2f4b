#include "coord/ruleswatchers.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(RulesWatchers){};

// Guards against a failure domain without a watcher or in which every instance watches.
TEST(RulesWatchers, TwoOfADomainWatch)
{
    std::vector<std::string> members;
    for (int i = 0; i < 29; ++i) {
        members.push_back("east-a-" + std::to_string(i));
        std::size_t watchers = 0;
        for (const std::string &member : members)
            watchers += isRulesWatcher(member, members) ? 1 : 0;
        CHECK_EQUAL(std::min<std::size_t>(2, members.size()), watchers);
    }
}
