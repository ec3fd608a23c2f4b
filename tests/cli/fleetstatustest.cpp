#include "cli/fleetstatus.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(FleetStatus){static FleetMember member(const std::string &name,
                                                  const std::string &endpoints, int version = 7){
        const std::string text = R"({"instance":")" + name
                + R"(","failureDomain":"east-a","rulesVersion":)" + std::to_string(version)
                + R"(,"tableEpoch":3,"isolated":false,"notReady":"","firstPlaces":5,)"
                  R"("secondPlaces":4,"endpoints":[)"
                + endpoints + "]}";
return {{name, "east-a", "", "", false}, parseInstanceStatus(text)};
}
}
;

// Guards against showing the load that an instance reports for an endpoint it does not own.
TEST(FleetStatus, loadComesFromTheOwner)
{
    const std::string owned = R"({"name":"tour-1","owner":"b","inFlight":3,"limit":16,)"
                              R"("failureDomainOut":true,"leaving":true})";
    const std::string stale = R"({"name":"tour-1","owner":"b","inFlight":9,"limit":2,)"
                              R"("failureDomainOut":true,"leaving":true})";
    const std::vector<FleetMember> members{member("a", stale), member("b", owned)};
    STRCMP_EQUAL("INSTANCE  FAILURE DOMAIN  READY  RULES  EPOCH  PLACES  ISOLATED\n"
                 "a         east-a          yes    7      3      5+4     no\n"
                 "b         east-a          yes    7      3      5+4     no\n"
                 "\n"
                 "ENDPOINT  OWNER  IN FLIGHT  LIMIT  DOMAIN OUT  LEAVING\n"
                 "tour-1    b      3          16     yes         yes\n",
                 formatFleetStatus(members).c_str());
    CHECK(haveConsistentVersions(members));
}

// Guards against reporting a consistent fleet while an instance does not answer or is behind.
TEST(FleetStatus, showsWhatIsMissing)
{
    CHECK_FALSE(haveConsistentVersions({member("a", ""), member("b", "", 8)}));
    std::vector<FleetMember> members{
            member("a", R"({"name":"tour-1","owner":"gone"})"),
            {{"gone", "east-b", "", "", false}, Error{ErrorCode::TimedOut, "no answer in time"}}};
    CHECK_FALSE(haveConsistentVersions(members));
    const std::string text = formatFleetStatus(members);
    CHECK(text.find("gone      east-b          no answer: no answer in time  -") != text.npos);
    CHECK(text.find("tour-1    gone   -          -      no          no") != text.npos);
}

// Guards against a crash on input that is not a status, and on fields of other types.
TEST(FleetStatus, toleratesOtherContent)
{
    CHECK_FALSE(isOk(parseInstanceStatus("[]")));
    CHECK_FALSE(isOk(parseInstanceStatus("{\"instance\":")));
    const auto status = parseInstanceStatus(
            R"({"instance":3,"rulesVersion":"x","isolated":1,"endpoints":[4,{"name":null}]})");
    CHECK(isOk(status));
    CHECK_EQUAL(0, valueOf(status).rulesVersion);
    CHECK_EQUAL(1U, valueOf(status).endpoints.size());
}
