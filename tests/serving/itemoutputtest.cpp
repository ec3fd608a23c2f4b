#include "serving/itemoutput.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using State = ItemOutput::State;
using std::chrono::milliseconds;

TEST_GROUP(ItemOutput)
{
    ItemProgress progress;
    SteadyTime now{std::chrono::hours{1}};

    ItemOutput start()
    {
        return {progress, now, milliseconds{4000}, milliseconds{1500}};
    }
};

// Guards against an item that loses or repeats events when it goes on at another endpoint.
TEST(ItemOutput, ASecondRunGoesOnAfterTheLastWholeEvent)
{
    ItemOutput first = start();
    CHECK(first.take("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", now) == State::GoesOn);
    CHECK(first.take("", now) == State::Invalid);
    STRCMP_EQUAL("a\nb", progress.output.c_str());
    UNSIGNED_LONGS_EQUAL(2, *progress.lastEventId);
    ItemOutput second = start();
    CHECK(second.take("id: 3\ndata: c\n\n", now) == State::GoesOn);
    CHECK(second.take("", now) == State::Complete);
    STRCMP_EQUAL("a\nb\nc", progress.output.c_str());
    LONGS_EQUAL(1, second.eventCount());
}

TEST(ItemOutput, RejectsEventsOutOfOrderOrWithoutAnId)
{
    for (const char *text : {"id: 4\ndata: d\n\n", "id: 1\ndata: a\n\n", "data: x\n\n"}) {
        progress.lastEventId = 2;
        ItemOutput output = start();
        CHECK(output.take(text, now) == State::Invalid);
        STRCMP_EQUAL("", progress.output.c_str());
    }
}

// Guards against a run that a byte now and then keeps open for good.
TEST(ItemOutput, BytesWithoutAnEventAreNoProgress)
{
    ItemOutput output = start();
    CHECK(output.take("id: 1\ndata: a\n\n", now + milliseconds{3900}) == State::GoesOn);
    CHECK(output.take("i", now + milliseconds{5300}) == State::GoesOn);
    CHECK(output.take("d", now + milliseconds{5500}) == State::Invalid);
}

// Guards against an item whose output grows with each run, at endpoints that send events without an
// end, and against the output of many items that together take the memory of an instance.
TEST(ItemOutput, OutputOfAllRunsIsBounded)
{
    const std::string data(300'000, 'x');
    std::uint64_t id = 0;
    State state = State::GoesOn;
    for (int run = 0; run < 4 && state == State::GoesOn; ++run) {
        ItemOutput output = start();
        for (int event = 0; event < 3 && state == State::GoesOn; ++event)
            state = output.take("id: " + std::to_string(++id) + "\ndata: " + data + "\n\n", now);
    }
    CHECK(state == State::TooLarge);
    UNSIGNED_LONGS_EQUAL(7, id);
    progress.discardOutput();
    CHECK(progress.output.empty());
    CHECK(!progress.lastEventId.has_value());
    const auto budget = std::make_shared<BufferBudget>(500'000);
    progress.outputShare = BufferShare(budget);
    ItemOutput output = start();
    CHECK(output.take("id: 1\ndata: " + data.substr(0, 200'000) + "\n\n", now) == State::GoesOn);
    CHECK(output.take("id: 2\ndata: " + data + "\n\n", now) == State::TooLarge);
    progress.discardOutput();
    UNSIGNED_LONGS_EQUAL(0, budget->used());
}
