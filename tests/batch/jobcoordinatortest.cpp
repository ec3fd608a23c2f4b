#include "batch/jobcoordinator.h"

#include "batch/progresscodec.h"

#include "batch/batchfixture.h"

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;
using tests::BatchFixture;

TEST_GROUP(JobCoordinator)
{
    BatchFixture fixture;

    JobId submit(int items, const std::string &path = "/v1/chat/completions")
    {
        return valueOf(fixture.submit("k", BatchFixture::body(items, path))).id;
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        return BatchFixture::waitUntil(condition);
    }

    // Waits until the job is done. Checks that each item has exactly one result and that the
    // results seen before have not changed.
    void checkDone(const JobId &id, std::size_t items,
                   const std::map<std::string, std::string> &before = {})
    {
        CHECK(fixture.waitForState(id, JobState::Done));
        const auto lines = fixture.results(id);
        CHECK_EQUAL(items, lines.size());
        for (const auto &[customId, line] : before)
            STRCMP_EQUAL(line.c_str(), lines.at(customId).c_str());
        CHECK(fixture.results(id) == lines);
        CHECK_EQUAL(items, fixture.status(id).done);
    }

    static int countOf(const std::map<std::string, std::string> &lines, const std::string &text)
    {
        int count = 0;
        for (const auto &[customId, line] : lines)
            count += line.find(text) != std::string::npos ? 1 : 0;
        return count;
    }
};

TEST(JobCoordinator, RunsAJobToCompletion)
{
    const auto instance = fixture.makeInstance(1);
    const JobId id = submit(1203);
    instance->coordinator->onJobChanged();
    checkDone(id, 1203);
    CHECK_EQUAL(1203, fixture.endpoint.totalStarts());
    CHECK_EQUAL(1203U, fixture.endpoint.startedItems());
    CHECK_EQUAL(0U, fixture.status(id).failed);
}

// Guards against lost, duplicate or changed results when an instance is killed: before its claim,
// after its claim, in the middle of a segment, between a result and its checkpoint, and after a
// checkpoint.
TEST(JobCoordinator, TakeoverAtEachStep)
{
    struct Step
    {
        const char *key;
        int answers;
        std::chrono::milliseconds checkpointInterval;
        std::uint64_t storedBefore;
        std::uint64_t epoch;
    };
    std::uint64_t epoch = 0;
    for (const Step &step :
         {Step{"before claim", 0, 100ms, 0, 0}, Step{"after claim", 0, 100ms, 0, 1},
          Step{"mid segment", 30, 100ms, 30, 1}, Step{"before checkpoint", 30, 1h, 0, 1},
          Step{"after checkpoint", 599, 100ms, 599, 1}}) {
        fixture.settings.scheduler.run.checkpointInterval = step.checkpointInterval;
        fixture.endpoint.answersLeft = step.answers;
        const int answeredBefore = fixture.endpoint.answered();
        epoch += 2;
        auto first = fixture.makeInstance(step.epoch == 0 ? 0 : epoch);
        const JobId id = valueOf(fixture.submit(step.key, BatchFixture::body(600))).id;
        CHECK(waitFor([&] {
            return fixture.status(id).done == step.storedBefore
                    && fixture.endpoint.answered() - answeredBefore == step.answers;
        }));
        if (step.epoch != 0) {
            const std::string progress = progressObjectName(id, 0);
            CHECK(waitFor([&] { return isOk(fixture.run(fixture.store->get(progress))); }));
        }
        const auto before = fixture.results(id);
        CHECK_EQUAL(step.storedBefore, before.size());
        first->coordinator.reset();
        fixture.endpoint.answersLeft = 1'000'000;
        const auto second = fixture.makeInstance(epoch + 1);
        checkDone(id, 600, before);
    }
}

// Guards against an instance that is paused and then continues to run a segment although its shard
// has moved.
TEST(JobCoordinator, FormerOwnerLosesTheSegment)
{
    fixture.endpoint.withholdsAnswers = true;
    const auto first = fixture.makeInstance(1);
    const JobId id = submit(100);
    CHECK(waitFor([&] { return fixture.endpoint.startedItems() > 0; }));
    const auto second = fixture.makeInstance(2);
    CHECK(waitFor([&] { return fixture.endpoint.starts("id-0") == 2; }));
    fixture.endpoint.withholdsAnswers = false;
    checkDone(id, 100);
    CHECK(waitFor([&] {
        const Labels labels{{"end", "lost"}};
        return fixture.metrics.counter("batch_segments_ended_total", labels).value() > 0;
    }));
}

// Guards against running a non-idempotent item twice, such as printing a tag. Items that were
// started and whose outcome was not stored end as unknown after a takeover.
TEST(JobCoordinator, StartedNonIdempotentItemsEndAsUnknown)
{
    fixture.endpoint.answersLeft = 20;
    auto first = fixture.makeInstance(1);
    const JobId id = submit(200, "/print");
    CHECK(waitFor([&] { return fixture.status(id).done == 20; }));
    first->coordinator.reset();
    fixture.endpoint.answersLeft = 1'000'000;
    const auto second = fixture.makeInstance(2);
    checkDone(id, 200);
    const auto lines = fixture.results(id);
    const int unknown = countOf(lines, "outcome_unknown");
    CHECK(unknown > 0);
    CHECK_EQUAL(200 - unknown, countOf(lines, "\"answer\""));
    for (int item = 0; item < 200; ++item)
        CHECK(fixture.endpoint.starts("id-" + std::to_string(item)) <= 1);
    CHECK_EQUAL(static_cast<std::uint64_t>(unknown), fixture.status(id).failed);
}

// Guards against a planned stop that loses results, or after which the next owner has to wait or
// ends items with an unknown outcome.
TEST(JobCoordinator, StopStoresResultsAndReleasesClaims)
{
    fixture.settings.scheduler.run.checkpointInterval = 1h;
    fixture.endpoint.answersLeft = 20;
    const auto first = fixture.makeInstance(1);
    const JobId id = submit(100, "/print");
    CHECK(waitFor([&] { return fixture.endpoint.answered() == 20; }));
    // The items already sent are answered within the grace period; the others were not sent.
    fixture.endpoint.answersLeft = 1'000'000;
    const auto stopStart = std::chrono::steady_clock::now();
    boost::asio::co_spawn(fixture.context, first->coordinator->stop(2s), boost::asio::use_future)
            .get();
    CHECK(std::chrono::steady_clock::now() - stopStart < 5s);
    const auto object = fixture.run(fixture.store->get(progressObjectName(id, 0)));
    const auto progress = decodeProgress(id, 0, valueOf(object));
    CHECK(valueOf(progress).claim.owner.empty());
    CHECK(valueOf(progress).started.empty());
    const auto before = fixture.results(id);
    CHECK_EQUAL(static_cast<std::size_t>(fixture.endpoint.answered()), before.size());
    const auto second = fixture.makeInstance(2);
    checkDone(id, 100, before);
    CHECK_EQUAL(0, countOf(fixture.results(id), "outcome_unknown"));
    CHECK_EQUAL(100, fixture.endpoint.totalStarts());
}

// Guards against a cancelled job that continues to run, and against results that are lost or change
// after the cancellation.
TEST(JobCoordinator, CancelStopsTheJobAndKeepsResults)
{
    fixture.endpoint.answersLeft = 25;
    const auto instance = fixture.makeInstance(1);
    const JobId id = submit(1100);
    CHECK(waitFor([&] { return fixture.status(id).done == 25; }));
    const auto before = fixture.results(id);
    CHECK_EQUAL(25U, before.size());
    CHECK(valueOf(fixture.cancel(id)) == JobState::Cancelled);
    instance->coordinator->onJobChanged();
    CHECK(waitFor([&] { return fixture.results(id).size() == 1100; }));
    const auto lines = fixture.results(id);
    CHECK_EQUAL(1075, countOf(lines, "\"cancelled\""));
    for (const auto &[customId, line] : before)
        STRCMP_EQUAL(line.c_str(), lines.at(customId).c_str());
    CHECK(fixture.status(id).state == JobState::Cancelled);
    CHECK_EQUAL(25U, fixture.status(id).done);
    CHECK(valueOf(fixture.cancel(id)) == JobState::Cancelled);
}

// Guards against items that start more than 3 s after the cancellation because the coordinator can
// no longer read the job.
TEST(JobCoordinator, CancelTakesEffectDuringStoreOutage)
{
    fixture.endpoint.duration = 20ms;
    fixture.settings.scheduler.maxInFlight = 1;
    const auto instance = fixture.makeInstance(1);
    const JobId id = submit(500);
    CHECK(waitFor([&] { return fixture.endpoint.startedItems() > 3; }));
    CHECK(valueOf(fixture.cancel(id)) == JobState::Cancelled);
    const auto cancelled = std::chrono::steady_clock::now();
    CHECK(fixture.control("/control?mode=hang") == "ok");
    CHECK(waitFor([&] { return std::chrono::steady_clock::now() - cancelled > 5s; }));
    CHECK(fixture.endpoint.lastStart() - cancelled < 3s);
    CHECK(fixture.endpoint.startedItems() < 500);
}

// Guards against store reads that grow with the number of instances while there are no jobs, and
// against a coordinator that keeps the long interval once it has a job: a cancellation whose
// notification is lost has to stop the job in time.
TEST(JobCoordinator, PollsRarelyWithoutJobsAndStopsACancelledJobWithoutANotice)
{
    fixture.endpoint.duration = 20ms;
    fixture.settings.scheduler.maxInFlight = 1;
    fixture.settings.pollInterval = JobCoordinatorSettings{}.pollInterval;
    fixture.settings.idlePollInterval = 1h;
    const auto instance = fixture.makeInstance(1);
    const auto reads = [&] {
        return fixture.metrics.counter("store_calls_total", {{"kind", "list"}}).value();
    };
    const auto begin = std::chrono::steady_clock::now();
    CHECK(waitFor([&] { return std::chrono::steady_clock::now() - begin > 5s; }));
    CHECK_EQUAL(1U, reads());
    const JobId id = submit(500);
    instance->coordinator->onJobChanged();
    CHECK(waitFor([&] { return fixture.endpoint.startedItems() > 3; }));
    CHECK(valueOf(fixture.cancel(id)) == JobState::Cancelled);
    const auto cancelled = std::chrono::steady_clock::now();
    CHECK(waitFor([&] { return std::chrono::steady_clock::now() - cancelled > 5s; }));
    CHECK(fixture.endpoint.lastStart() - cancelled < 3s);
    CHECK(fixture.endpoint.startedItems() < 500);
}

// Guards against a job that makes no progress after a takeover until the next regular read, and
// against a read by every instance of the fleet at each change of the shard table.
TEST(JobCoordinator, ReadsAtOnceWhenItsOwnShardsChange)
{
    fixture.settings.idlePollInterval = 1h;
    const auto instance = fixture.makeInstance(1);
    const auto reads = [&] {
        return fixture.metrics.counter("store_calls_total", {{"kind", "list"}}).value();
    };
    CHECK(waitFor([&] { return reads() == 1; }));
    instance->coordinator->onShardTableChanged();
    const auto begin = std::chrono::steady_clock::now();
    CHECK(waitFor([&] { return std::chrono::steady_clock::now() - begin > 1s; }));
    CHECK_EQUAL(1U, reads());
    *instance->epoch = 2;
    instance->coordinator->onShardTableChanged();
    CHECK(waitFor([&] { return reads() == 2; }));
}

// Guards against an item that starts after waiting for a slot although its job has been cancelled
// or its shard has moved meanwhile.
TEST(JobCoordinator, WaitingItemsCheckAgainBeforeTheyStart)
{
    std::promise<std::shared_ptr<ItemCancellation>> handedOut;
    fixture.settings.runItem =
            [&](BatchItem, std::string,
                std::shared_ptr<ItemCancellation> item) -> boost::asio::awaitable<ItemOutcome> {
        handedOut.set_value(item);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        while (!item->isCancelled()) {
            timer.expires_after(2ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_return ItemNotRun{};
    };
    const auto instance = fixture.makeInstance(1);
    submit(1);
    const auto item = handedOut.get_future().get();
    CHECK(item->mayStart());
    *instance->epoch = 0;
    CHECK_FALSE(item->mayStart());
    *instance->epoch = 1;
    CHECK(fixture.control("/control?mode=down") == "ok");
    CHECK(waitFor([&] { return !item->mayStart(); }));
    CHECK_FALSE(item->isCancelled());
    instance->coordinator.reset();
    CHECK(waitFor([&] { return item->isCancelled(); }));
}

// Guards against a store outage or lost responses that end a job early or make items run again.
TEST(JobCoordinator, StoreOutageAndLostAnswersOnlyDelayTheJob)
{
    fixture.endpoint.duration = 50ms;
    fixture.settings.scheduler.maxInFlight = 16;
    const auto instance = fixture.makeInstance(1);
    const JobId id = submit(800);
    for (const char *fault :
         {"lose-answers=3", "mode=down", "mode=up&lose-answers=2", "mode=hang", "mode=up"}) {
        CHECK(waitFor([&] { return fixture.endpoint.totalStarts() > 0; }));
        CHECK(fixture.control("/control?" + std::string(fault)) == "ok");
        const auto until = std::chrono::steady_clock::now() + 400ms;
        CHECK(waitFor([&] { return std::chrono::steady_clock::now() > until; }));
    }
    checkDone(id, 800);
    CHECK_EQUAL(800, fixture.endpoint.totalStarts());
}

// Guards against results that no longer fit into one store object.
TEST(JobCoordinator, LargeResultsAreStoredInParts)
{
    fixture.settings.runItem =
            [](BatchItem item, std::string,
               std::shared_ptr<ItemCancellation>) -> boost::asio::awaitable<ItemOutcome> {
        std::mt19937 random(static_cast<unsigned>(item.customId.back()));
        std::string text(100'000, '\0');
        for (char &character : text)
            character = static_cast<char>('0' + random() % 64);
        co_return ItemAnswer{200, text};
    };
    const auto instance = fixture.makeInstance(1);
    const JobId id = submit(10);
    checkDone(id, 10);
    const auto object = fixture.run(fixture.store->get(progressObjectName(id, 0)));
    const auto progress = decodeProgress(id, 0, valueOf(object));
    CHECK(!valueOf(progress).parts.empty());
}
