#include "batch/batchitem.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(BatchItem){};

TEST(BatchItem, ParsesMembersAndKeepsTheBody)
{
    const auto item = parseBatchItem(
            R"({"body": {"a": 1.0, "n": 12345678901234567890123}, "custom_id":"x\u0041","path":"/print"})");
    CHECK(isOk(item));
    STRCMP_EQUAL("xA", valueOf(item).customId.c_str());
    STRCMP_EQUAL("/print", valueOf(item).path.c_str());
    STRCMP_EQUAL(R"({"a": 1.0, "n": 12345678901234567890123})", valueOf(item).body.c_str());
}

TEST(BatchItem, PathDefaultsToChatCompletions)
{
    const auto item = parseBatchItem(R"({"custom_id":"x","body":{}})");
    STRCMP_EQUAL("/v1/chat/completions", valueOf(item).path.c_str());
}

// Guards against accepting an item that can never be run or whose result can not be matched.
TEST(BatchItem, RejectsInvalidItems)
{
    const std::string longId(MaxCustomIdBytes + 1, 'x');
    for (const std::string &line : {
                 std::string(""),
                 std::string("[]"),
                 std::string("{\"custom_id\":\"x\",\"body\":{}"),
                 std::string(R"({"body":{}})"),
                 std::string(R"({"custom_id":"","body":{}})"),
                 std::string(R"({"custom_id":7,"body":{}})"),
                 R"({"custom_id":")" + longId + R"(","body":{}})",
                 std::string(R"({"custom_id":"x"})"),
                 std::string(R"({"custom_id":"x","body":"text"})"),
                 std::string(R"({"custom_id":"x","b\u006fdy":{}})"),
                 std::string(R"({"custom_id":"x","body":{},"path":"print"})"),
                 std::string(R"({"custom_id":"x","body":{},"path":"/a b"})"),
                 std::string(R"({"custom_id":"x","body":{},"path":"/a\r\nX-Y: 1"})"),
                 std::string(R"({"custom_id":"x","body":{},"url":"/a"})"),
         }) {
        const auto item = parseBatchItem(line);
        CHECK_FALSE_TEXT(isOk(item), line.c_str());
        CHECK(errorOf(item).code == ErrorCode::InvalidArgument);
    }
    CHECK_FALSE(isOk(parseBatchItem(R"({"custom_id":"x","body":{"a":")"
                                    + std::string(MaxItemBytes, 'y') + "\"}}")));
}
