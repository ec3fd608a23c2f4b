#include "batch/itemresult.h"

#include "batch/rawjson.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(ItemResult){};

// Guards against a result line that contains a newline or is not valid JSON.
TEST(ItemResult, FormatsOneJsonLine)
{
    STRCMP_EQUAL("{\"custom_id\":\"a\\\"b\",\"status\":200,\"body\":{ \"x\": 1}}\n",
                 formatResultLine("a\"b", {200, ResultBody{"{\n\"x\": 1}", true}}).c_str());
    STRCMP_EQUAL("{\"custom_id\":\"a\",\"status\":200,\"body\":\"plain\\u000atext\"}\n",
                 formatResultLine("a", {200, ResultBody{"plain\ntext", false}}).c_str());
    STRCMP_EQUAL(
            "{\"custom_id\":\"a\",\"status\":0,\"error\":{\"code\":\"c\",\"message\":\"m\"}}\n",
            formatResultLine("a", {0, ResultError{"c", "m"}}).c_str());
}
