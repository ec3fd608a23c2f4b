#include "batch/rawjson.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::batch::detail;

TEST_GROUP(RawJson){};

// Guards against a request that reaches the endpoint with different bytes from those its caller
// sent.
TEST(RawJson, FindsMembersByteForByte)
{
    const std::string text =
            R"( { "a" : 1.50 , "body":{ "x":"}\",{" ,"y":[1,{"body":2}] } ,"z":[] } )";
    CHECK(rawMember(text, "a") == "1.50");
    CHECK(rawMember(text, "body") == R"({ "x":"}\",{" ,"y":[1,{"body":2}] })");
    CHECK(rawMember(text, "z") == "[]");
    CHECK(rawMember(text, "x").empty());
    CHECK(rawMember("{}", "a").empty());
    CHECK(rawMember(R"({"a":1,"a":2})", "a") == "2");
}

TEST(RawJson, DistinguishesJsonFromOtherText)
{
    for (const char *text : {"{}", " [1, 2] ", "\"a\"", "null", "-1.5e3", "{\"a\":{\"b\":[]}}\n"})
        CHECK_TEXT(isJson(text), text);
    for (const char *text : {"", "{", "{}x", "plain", "{\"a\":}", "[1,]", "\"\xff\""})
        CHECK_FALSE_TEXT(isJson(text), text);
    CHECK_FALSE(isJson(std::string(100'000, '[')));
}

// Guards against a result line that is not valid JSON because the endpoint answered with arbitrary
// bytes.
TEST(RawJson, QuotesAnyBytes)
{
    STRCMP_EQUAL("\"a\\\"\\\\\\u000a\\u0001\"", quoteJson("a\"\\\n\x01").c_str());
    STRCMP_EQUAL("\"\xc3\xa9\xf0\x9f\x98\x80\"", quoteJson("\xc3\xa9\xf0\x9f\x98\x80").c_str());
    for (const char *bytes : {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf5\x80\x80\x80"})
        CHECK(isJson(quoteJson(bytes)));
}
