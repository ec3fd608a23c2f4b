#include "platform/jobformat.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(PlatformJobFormat){};

// Guards against accepting a job with an invalid item.
TEST(PlatformJobFormat, ReportsInvalidItems)
{
    const auto good = platform::decodeJob(
            R"({"items":[{"id":"a","path":"/b/1","headers":{"Model":"m"},"body":"q83v"}]})");
    CHECK(isOk(good));
    LONGS_EQUAL(3, valueOf(good)[0].body.size());
    const auto badBody =
            platform::decodeJob(R"({"items":[{"id":"a","path":"/b/1","body":"q83"}]})");
    CHECK_FALSE(isOk(badBody));
    STRCMP_CONTAINS("item 0", errorOf(badBody).message.c_str());
    CHECK_FALSE(isOk(platform::decodeJob("{}")));
    CHECK_FALSE(isOk(platform::decodeJob("nothing")));
    CHECK_FALSE(isOk(platform::decodeJob(R"({"items":[{"path":"/b/1","body":""}]})")));
}

// Guards against results that callers cannot match to their items.
TEST(PlatformJobFormat, EncodesResults)
{
    const std::string text = platform::encodeResults(3, 2, {{"a", false, "x\ny"}, {"b", true, ""}});
    STRCMP_EQUAL(R"({"total":3,"next":2,"results":[{"id":"a","state":"complete","output":"x\ny"},)"
                 R"({"id":"b","state":"dead"}]})",
                 text.c_str());
}
