#include "serving/eventsplitter.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace pistachiofall;

TEST_GROUP(EventSplitter)
{
    EventSplitter splitter;
    std::vector<std::string> data;
    std::vector<std::uint64_t> ids;

    bool feed(std::string_view bytes)
    {
        return splitter.feed(bytes, [this](const StreamEvent &event) {
            data.push_back(event.data);
            ids.push_back(event.id.value_or(0));
        });
    }
};

// Guards against forwarding a truncated event, after which the stream could not be resumed.
TEST(EventSplitter, HoldsBackIncompleteEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d";
    for (const char byte : stream)
        CHECK(feed(std::string(1, byte)));
    LONGS_EQUAL(2, data.size());
    CHECK_EQUAL(std::string("b\nc"), data[1]);
    LONGS_EQUAL(2, ids[1]);
    CHECK(splitter.hasPartialEvent());
}

// Guards against two events being merged when lines end with CR LF.
TEST(EventSplitter, AcceptsCarriageReturns)
{
    CHECK(feed("id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\n"));
    LONGS_EQUAL(2, ids.size());
    LONGS_EQUAL(8, ids[1]);
    CHECK_EQUAL(std::string("y"), data[1]);
    CHECK_FALSE(splitter.hasPartialEvent());
}

// Guards against unbounded memory use by an event that never ends.
TEST(EventSplitter, RejectsAnEndlessEvent)
{
    CHECK(feed("data: "));
    CHECK_FALSE(feed(std::string(std::size_t{2} << 20U, 'x')));
}
