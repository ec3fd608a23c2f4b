#include "platform/rolloutformat.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

using namespace pistachiofall;
using namespace pistachiofall::platform;

TEST_GROUP(RolloutFormat){SpaceObject order(const char *spec){SpaceObject object;
object.name = "chat";
object.spec = boost::json::parse(spec);
return object;
}

std::string errorFor(const char *spec)
{
    const auto decoded = decodeRollout(order(spec));
    return isOk(decoded) ? "" : errorOf(decoded).message;
}
}
;

TEST(RolloutFormat, ReadsAnOrder)
{
    const auto decoded =
            decodeRollout(order(R"({"service":"chat","to":"v2","over_s":12.5,"more":1})"));
    CHECK(isOk(decoded));
    CHECK_EQUAL(std::string("v2"), valueOf(decoded).version);
    CHECK(valueOf(decoded).duration == std::chrono::milliseconds{12500});
}

// Guards against an order that moves traffic although it can not be read, and against errors that
// do not name the value.
TEST(RolloutFormat, NamesWhatCanNotBeRead)
{
    STRCMP_CONTAINS("'to': missing", errorFor(R"({"service":"chat","over_s":5})").c_str());
    STRCMP_CONTAINS("'to': []", errorFor(R"({"service":"chat","to":[],"over_s":5})").c_str());
    STRCMP_CONTAINS("'over_s': -1",
                    errorFor(R"({"service":"chat","to":"v2","over_s":-1})").c_str());
    STRCMP_CONTAINS("'service': \"other\"",
                    errorFor(R"({"service":"other","to":"v2","over_s":5})").c_str());
    STRCMP_CONTAINS("not a JSON object", errorFor("[]").c_str());
}

TEST(RolloutFormat, StatusIsReadAsWritten)
{
    RolloutStatus status;
    status.phase = RolloutPhase::RolledBack;
    status.version = "v2";
    status.startedAt = std::chrono::system_clock::time_point(std::chrono::hours{400000});
    status.share = 0.06;
    status.reason = "bad";
    const boost::json::value encoded = encodeRolloutStatus(status);
    CHECK_EQUAL(std::string("rolled_back"), encoded.as_object().at("state").as_string().c_str());
    const auto decoded = decodeRolloutStatus(encoded);
    CHECK(decoded.has_value());
    CHECK(decoded->phase == status.phase);
    CHECK_EQUAL(status.version, decoded->version);
    CHECK(decoded->startedAt == status.startedAt);
    DOUBLES_EQUAL(status.share, decoded->share, 1e-9);
    CHECK_EQUAL(status.reason, decoded->reason);
}

TEST(RolloutFormat, StatusOfAnotherWriterIsNone)
{
    CHECK_FALSE(decodeRolloutStatus(boost::json::value()).has_value());
    CHECK_FALSE(decodeRolloutStatus(boost::json::parse(R"({"state":"odd"})")).has_value());
}
