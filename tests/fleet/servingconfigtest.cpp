#include "fleet/servingconfig.h"
#include "fleet/fleetfixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::tests;

TEST_GROUP(ServingConfig){};

namespace {

ServingRoute route(const std::string &prefix)
{
    ServingRoute each;
    each.host = "desk.example";
    each.pathPrefix = prefix;
    each.targets = {{"chat", 1}};
    return each;
}

} // namespace

// Guards against a shorter prefix that matches the requests of a longer one.
TEST(ServingConfig, FindsTheLongestPrefix)
{
    const auto config = ServingConfig::create(1, {route("/a/"), route("/a/b/")}, {}, {});
    CHECK_EQUAL(std::string("/a/b/"), config->findRoute("desk.example", "/a/b/c")->pathPrefix);
    CHECK_EQUAL(std::string("/a/"), config->findRoute("desk.example", "/a/x")->pathPrefix);
    POINTERS_EQUAL(nullptr, config->findRoute("desk.example", "/b/"));
    POINTERS_EQUAL(nullptr, config->findRoute("other.example", "/a/x"));
}

// Guards against a split that ignores its weights, or a retry that goes to another service.
TEST(ServingConfig, SplitsByWeight)
{
    ServingRoute split = route("/a/");
    split.targets = {{"chat", 90}, {"draft", 10}};
    int draft = 0;
    for (int index = 0; index < 1000; ++index) {
        const std::string key = "request-" + std::to_string(index);
        CHECK(chooseService(split, key) == chooseService(split, key));
        draft += chooseService(split, key) == "draft" ? 1 : 0;
    }
    CHECK(draft > 60);
    CHECK(draft < 140);
}

// Guards against an API key that gives access to another organisation.
TEST(ServingConfig, FindsTheOrganisationOfAKey)
{
    ServingOrganisation acme;
    acme.name = "acme";
    acme.keys = {"k1", "k2"};
    const auto config = ServingConfig::create(1, {}, {}, {acme});
    CHECK_EQUAL(std::string("acme"), config->organisationForKey("k2")->name);
    POINTERS_EQUAL(nullptr, config->organisationForKey("k3"));
    POINTERS_EQUAL(nullptr, config->organisationForKey(""));
}
