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

// Guards against a cut event that is passed on, so that the stream can not go on after it.
TEST(EventSplitter, HoldsBackWhatIsNotComplete)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d";
    for (const char byte : stream)
        CHECK(feed(std::string(1, byte)));
    LONGS_EQUAL(2, data.size());
    CHECK_EQUAL(std::string("b\nc"), data[1]);
    LONGS_EQUAL(2, ids[1]);
    CHECK(splitter.hasPartialEvent());
}

// Guards against line ends of another kind that join two events.
TEST(EventSplitter, TakesCarriageReturns)
{
    CHECK(feed("id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\n"));
    LONGS_EQUAL(2, ids.size());
    LONGS_EQUAL(8, ids[1]);
    CHECK_EQUAL(std::string("y"), data[1]);
    CHECK_FALSE(splitter.hasPartialEvent());
}

// Guards against a stream without events that takes memory without end.
TEST(EventSplitter, RefusesAnEndlessEvent)
{
    CHECK(feed("data: "));
    CHECK_FALSE(feed(std::string(std::size_t{2} << 20U, 'x')));
}
