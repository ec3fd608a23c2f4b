#include "batch/segmentitems.h"

#include "batch/samples.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

const ItemRetryable retryable{503, "unavailable", "busy"};

} // namespace

TEST_GROUP(SegmentItems)
{
    SegmentRunSettings settings;
    SegmentItems::TimePoint now{1h};

    SegmentItems makeItems(std::size_t count, bool isIdempotent)
    {
        return {std::vector<bool>(count, isIdempotent), settings, 1};
    }

    // Starts the next item once its delay has passed.
    std::uint32_t startLater(SegmentItems & items)
    {
        for (int step = 0; step < 100; ++step, now += 1s) {
            if (const auto item = items.startNext(now))
                return *item;
        }
        return 999;
    }

    // Simulates a write that the store confirms.
    static void confirmWrite(SegmentItems & items)
    {
        items.onStored(items.started());
    }

    static std::string errorOf(const SegmentItems &items, std::uint32_t item)
    {
        const auto &result = *items.results().at(item);
        const auto *error = std::get_if<ResultError>(&result.content);
        return error == nullptr ? std::string() : error->code;
    }
};

TEST(SegmentItems, RunsItemsInOrderToAnswers)
{
    auto items = makeItems(2, true);
    CHECK(items.startNext(now) == 0U);
    CHECK(items.startNext(now) == 1U);
    CHECK(!items.startNext(now));
    items.onOutcome(1, ItemAnswer{200, "{}"}, now);
    items.onOutcome(0, ItemAnswer{200, "plain"}, now);
    CHECK(items.isComplete());
    CHECK(std::get<ResultBody>(items.results().at(1)->content).isJson);
    CHECK_FALSE(std::get<ResultBody>(items.results().at(0)->content).isJson);
}

// Guards against an item that can never succeed and is retried forever.
TEST(SegmentItems, FailsAfterThreeAttempts)
{
    auto items = makeItems(1, true);
    for (int attempts = 0; attempts < 3; ++attempts) {
        CHECK_FALSE(items.isComplete());
        CHECK_EQUAL(0U, startLater(items));
        items.onOutcome(0, retryable, now);
        CHECK(!items.startNext(now));
    }
    CHECK(items.isComplete());
    STRCMP_EQUAL("unavailable", errorOf(items, 0).c_str());
    CHECK_EQUAL(503, items.results().at(0)->status);
}

// Guards against an item that runs out of attempts because online requests took its slot.
TEST(SegmentItems, RevokedAndNotRunAreNotCountedAsAttempts)
{
    auto items = makeItems(1, true);
    for (int round = 0; round < 10; ++round) {
        CHECK_EQUAL(0U, startLater(items));
        items.onOutcome(0, ItemRevoked{}, now);
        CHECK_EQUAL(0U, startLater(items));
        items.onOutcome(0, ItemNotRun{}, now);
    }
    CHECK_EQUAL(0U, startLater(items));
    items.onOutcome(0, ItemAnswer{200, "{}"}, now);
    STRCMP_EQUAL("", errorOf(items, 0).c_str());
}

TEST(SegmentItems, PermanentFailureIsNotRetried)
{
    auto items = makeItems(1, true);
    CHECK_EQUAL(0U, startLater(items));
    items.onOutcome(0, ItemFailed{400, "bad", "no such model"}, now);
    CHECK(items.isComplete());
    STRCMP_EQUAL("bad", errorOf(items, 0).c_str());
}

// Guards against a result that changes when a second outcome is reported.
TEST(SegmentItems, SecondOutcomeIsIgnored)
{
    auto items = makeItems(2, true);
    CHECK_EQUAL(0U, startLater(items));
    items.onOutcome(0, ItemAnswer{200, "{\"a\":1}"}, now);
    items.onOutcome(0, ItemFailed{500, "late", ""}, now);
    STRCMP_EQUAL("", errorOf(items, 0).c_str());
    CHECK_EQUAL(0U, items.runningCount());
}

// Guards against running a non-idempotent item twice, such as printing a tag: it may only start
// once its mark is durable.
TEST(SegmentItems, NonIdempotentNeedsDurableMark)
{
    auto items = makeItems(3, false);
    CHECK(!items.startNext(now));
    items.mark(2, now);
    CHECK(items.started() == (std::set<std::uint32_t>{0, 1}));
    CHECK(items.hasUnstoredMarks());
    CHECK(!items.startNext(now));
    confirmWrite(items);
    CHECK_FALSE(items.hasUnstoredMarks());
    CHECK(items.startNext(now) == 0U);
    CHECK(items.startNext(now) == 1U);
    CHECK(!items.startNext(now));
}

// Guards against a second run of an item whose first run may have taken effect.
TEST(SegmentItems, NonIdempotentIsNeverSentTwice)
{
    auto items = makeItems(3, false);
    items.mark(3, now);
    confirmWrite(items);
    for (std::uint32_t item = 0; item < 3; ++item)
        CHECK(items.startNext(now) == item);
    items.onOutcome(0, retryable, now);
    items.onOutcome(1, ItemRevoked{}, now);
    items.onOutcome(2, ItemOutcomeUnknown{"connection broke"}, now);
    CHECK(items.isComplete());
    STRCMP_EQUAL("unavailable", errorOf(items, 0).c_str());
    STRCMP_EQUAL("outcome_unknown", errorOf(items, 1).c_str());
    STRCMP_EQUAL("outcome_unknown", errorOf(items, 2).c_str());
}

// Guards against a withdrawn mark that still counts as durable while a write that removes it is in
// flight. Found by a random schedule of the takeover property test.
TEST(SegmentItems, WithdrawnMarkIsNotDurable)
{
    auto items = makeItems(1, false);
    items.mark(1, now);
    const auto withMark = items.started();
    confirmWrite(items);
    CHECK(items.startNext(now) == 0U);
    items.onOutcome(0, ItemNotRun{}, now);
    now += 10s;
    CHECK(!items.startNext(now));
    const auto withoutMark = items.started();
    CHECK(withoutMark.empty());
    items.mark(1, now);
    items.onStored(withoutMark);
    CHECK(!items.startNext(now));
    items.onStored(withMark);
    CHECK(items.startNext(now) == 0U);
}

TEST(SegmentItems, MarksAtMostMaxMarkedAhead)
{
    auto items = makeItems(100, false);
    items.mark(100, now);
    CHECK_EQUAL(settings.maxMarkedAhead, items.started().size());
    confirmWrite(items);
    CHECK(items.startNext(now).has_value());
    items.mark(100, now);
    CHECK_EQUAL(settings.maxMarkedAhead + 1, items.started().size());
}

// Guards against results that are lost, or items that are run again, after a takeover.
TEST(SegmentItems, RestoreKeepsResultsAndEndsStartedItems)
{
    Progress stored;
    stored.itemCount = 4;
    stored.results = {{0, tests::makeAnswer("{\"a\":1}")}};
    stored.parts = {{{}, {1}, 0}};
    stored.started = {2};
    auto items = makeItems(4, false);
    items.restore(stored);
    STRCMP_EQUAL("outcome_unknown", errorOf(items, 2).c_str());
    CHECK(items.started().empty());
    items.mark(4, now);
    CHECK(items.started() == std::set<std::uint32_t>{3});
    CHECK_EQUAL(1U, items.waitingCount(now));
    items.restore(stored);
    CHECK(items.started().empty());
    CHECK_EQUAL(2U, items.results().size());
}
