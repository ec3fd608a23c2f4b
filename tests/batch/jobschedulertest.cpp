#include "batch/jobscheduler.h"

#include "batch/samples.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

TEST_GROUP(JobScheduler)
{
    JobSchedulerSettings settings;
    std::optional<JobScheduler> scheduler;
    JobScheduler::TimePoint now{1h};
    std::map<JobId, ListedJob> listed;

    void setup() override
    {
        settings.owner = "a#1";
        settings.maxInFlight = 4;
        settings.maxSegments = 3;
        scheduler.emplace(settings, 1);
    }

    JobId addJob(const std::string &organisation, const std::string &key,
                 const std::vector<std::uint32_t> &segments, std::chrono::hours due = 1h)
    {
        Job job = tests::makeJob(organisation, key, segments);
        job.due += due;
        listed[job.id] = {job, "1", 5};
        return job.id;
    }

    void read()
    {
        std::vector<ListedJob> jobs;
        for (const auto &[id, job] : listed)
            jobs.push_back(job);
        scheduler->onJobsRead(std::move(jobs), now);
    }

    // Completes every due store call successfully.
    void completeStoreCalls()
    {
        for (const SegmentKey &key : scheduler->runs()) {
            SegmentRun &run = *scheduler->run(key);
            const auto items = listed[key.job].job.segments[key.segment].itemCount;
            if (run.phase() == SegmentRun::Phase::Loading)
                run.onLoaded(std::vector<bool>(items, true));
            while (const auto action = run.nextStoreAction(now)) {
                if (std::holds_alternative<ReadProgress>(*action))
                    run.onRead(std::nullopt, {});
                else
                    run.onWritten("1", now);
            }
        }
        scheduler->removeEndedRuns(now);
    }

    void claimAll()
    {
        while (scheduler->claimNext(now))
            completeStoreCalls();
    }

    std::vector<ItemKey> startAll()
    {
        std::vector<ItemKey> started;
        const auto isHeld = [](const JobId &) { return true; };
        while (const auto item = scheduler->startNext(now, isHeld))
            started.push_back(*item);
        return started;
    }

    std::map<JobId, int> startedByJob()
    {
        std::map<JobId, int> counts;
        for (const ItemKey &item : startAll())
            ++counts[item.segment.job];
        return counts;
    }

    void answer(const ItemKey &item)
    {
        scheduler->onOutcome(item, ItemAnswer{200, "{}"}, now);
    }
};

// Guards against a large job of one organisation that takes all slots from the others.
TEST(JobScheduler, OrganisationsGetEqualShares)
{
    const JobId large = addJob("acme", "large", {500, 500}, 1h);
    const JobId small = addJob("bolt", "small", {10}, 9h);
    read();
    claimAll();
    auto counts = startedByJob();
    CHECK_EQUAL(2, counts[large]);
    CHECK_EQUAL(2, counts[small]);
}

// Guards against a freed slot that always goes to the same organisation when there are more
// organisations than slots.
TEST(JobScheduler, MoreOrganisationsThanSlotsTakeTurns)
{
    settings.maxInFlight = 1;
    scheduler.emplace(settings, 1);
    for (const char *organisation : {"acme", "bolt", "core"})
        addJob(organisation, "k", {10});
    read();
    claimAll();
    std::map<std::string, int> served;
    for (int turn = 0; turn < 6; ++turn) {
        const auto items = startAll();
        CHECK_EQUAL(1U, items.size());
        ++served[listed[items[0].segment.job].job.organisation];
        answer(items[0]);
    }
    CHECK_EQUAL(2, served["acme"]);
    CHECK_EQUAL(2, served["bolt"]);
    CHECK_EQUAL(2, served["core"]);
}

// Guards against a job that misses its due time because a job of the same organisation that is due
// later runs first.
TEST(JobScheduler, EarliestDueOfAnOrganisationRunsFirst)
{
    addJob("acme", "late", {10}, 9h);
    const JobId early = addJob("acme", "early", {3}, 1h);
    read();
    claimAll();
    auto counts = startedByJob();
    CHECK_EQUAL(3, counts[early]);
    CHECK_EQUAL(1U, counts.size());
    claimAll();
    CHECK_EQUAL(1U, startAll().size());
}

// Guards against unnecessary claims, each of which costs writes, while the items have no slots.
TEST(JobScheduler, ClaimsSegmentsOnlyWhenItemsRunOut)
{
    addJob("acme", "k", {6, 6, 6, 6});
    read();
    claimAll();
    CHECK_EQUAL(1U, scheduler->runs().size());
    const auto items = startAll();
    CHECK_EQUAL(4U, items.size());
    claimAll();
    CHECK_EQUAL(1U, scheduler->runs().size());
    answer(items[0]);
    answer(items[1]);
    CHECK_EQUAL(2U, startAll().size());
    answer(items[2]);
    claimAll();
    CHECK_EQUAL(2U, scheduler->runs().size());
}

// Guards against starting items of a job that was cancelled while the store could not be read.
TEST(JobScheduler, StartsNothingAfterThreeSecondsWithoutRead)
{
    CHECK_FALSE(scheduler->mayStart(now));
    addJob("acme", "k", {10});
    read();
    claimAll();
    now += 3000ms;
    CHECK(scheduler->mayStart(now));
    CHECK_EQUAL(4U, startAll().size());
    now += 1ms;
    CHECK_FALSE(scheduler->mayStart(now));
    answer({scheduler->runs()[0], 0});
    CHECK(startAll().empty());
    CHECK(!scheduler->claimNext(now));
    read();
    CHECK_EQUAL(1U, startAll().size());
}

// Guards against a cancelled job that continues to run or stays active forever.
TEST(JobScheduler, CancelledJobStopsAndIsClosed)
{
    const JobId id = addJob("acme", "k", {2, 2, 2});
    read();
    claimAll();
    const auto items = startAll();
    CHECK_EQUAL(2U, items.size());
    listed[id].job.state = JobState::Cancelled;
    listed[id].version = "2";
    read();
    CHECK(startAll().empty());
    CHECK(scheduler->run(items[0].segment)->isStopping());
    answer(items[0]);
    scheduler->onOutcome(items[1], ItemRevoked{}, now);
    completeStoreCalls();
    CHECK(!scheduler->nextJobWrite(now));
    claimAll();
    const auto write = scheduler->nextJobWrite(now);
    CHECK(write.has_value());
    STRCMP_EQUAL("2", write->version.c_str());
    CHECK(write->job.state == JobState::Cancelled);
    CHECK_FALSE(write->job.isActive);
    CHECK(write->job.segments[0].finished == (ResultCounts{1, 0}));
    CHECK(!write->job.segments[1].finished);
}

// Guards against a finished job that is never marked as done.
TEST(JobScheduler, FinishesTheJobOnce)
{
    const JobId id = addJob("acme", "k", {1, 1});
    read();
    for (int segment = 0; segment < 2; ++segment) {
        claimAll();
        answer(startAll().front());
        completeStoreCalls();
    }
    const auto write = scheduler->nextJobWrite(now);
    CHECK(write->job.state == JobState::Done);
    CHECK_FALSE(write->job.isActive);
    CHECK(!scheduler->nextJobWrite(now));
    const auto beforeWritten = now;
    now += 1s;
    scheduler->onJobWritten(id, "2", now);
    // A read that began before the write still lists the job as open.
    now = beforeWritten;
    read();
    CHECK(!scheduler->claimNext(now));
    CHECK(!scheduler->nextJobWrite(now));
}

// Guards against overwriting a cancellation with Done, and against a job that stays open because
// the response to the write was lost.
TEST(JobScheduler, JobWriteThatMayHaveFailedWaitsForARead)
{
    const JobId id = addJob("acme", "k", {1});
    read();
    claimAll();
    answer(startAll().front());
    completeStoreCalls();
    CHECK(scheduler->nextJobWrite(now).has_value());
    now += 1s;
    scheduler->onJobWriteFailed(id, ErrorCode::Conflict, now);
    CHECK(scheduler->wantsRead());
    now += 2s;
    CHECK(!scheduler->nextJobWrite(now));
    listed[id].version = "7";
    read();
    CHECK_FALSE(scheduler->wantsRead());
    STRCMP_EQUAL("7", scheduler->nextJobWrite(now)->version.c_str());
    scheduler->onJobWriteFailed(id, ErrorCode::Unavailable, now);
    CHECK(!scheduler->nextJobWrite(now));
    now += 1s;
    CHECK(scheduler->nextJobWrite(now).has_value());
}

// Guards against an instance that continues to run a job after its shard has moved.
TEST(JobScheduler, UnlistedJobIsReleased)
{
    const JobId id = addJob("acme", "k", {5});
    read();
    claimAll();
    const auto items = startAll();
    listed.erase(id);
    read();
    CHECK(startAll().empty());
    CHECK(scheduler->run(items[0].segment)->isStopping());
    listed[id] = {tests::makeJob("acme", "k", {5}), "1", 6};
    listed.erase(id);
    for (const ItemKey &item : items)
        scheduler->onOutcome(item, ItemRevoked{}, now);
    CHECK_EQUAL(0U, scheduler->inFlight());
    scheduler->run(items[0].segment)->nextStoreAction(now);
    scheduler->run(items[0].segment)->onWritten("9", now);
    CHECK_EQUAL(1U, scheduler->removeEndedRuns(now).size());
    CHECK(scheduler->job(id) == nullptr);
}

// Guards against losing the counts of finished segments at each read.
TEST(JobScheduler, FinishedSegmentsAreStoredBetweenReads)
{
    addJob("acme", "k", {1, 5});
    read();
    claimAll();
    answer(startAll().front());
    completeStoreCalls();
    read();
    claimAll();
    startAll();
    CHECK(!scheduler->nextJobWrite(now));
    now += settings.jobWriteInterval;
    const auto write = scheduler->nextJobWrite(now);
    CHECK(write->job.segments[0].finished.has_value());
    CHECK(write->job.isActive);
    CHECK(write->job.state == JobState::Open);
}

// Guards against claiming a segment held by a slow instance again without a delay.
TEST(JobScheduler, WaitsBeforeItClaimsALostSegmentAgain)
{
    addJob("acme", "k", {5});
    read();
    const auto key = scheduler->claimNext(now);
    SegmentRun &run = *scheduler->run(*key);
    run.onLoaded(std::vector<bool>(5, true));
    run.nextStoreAction(now);
    run.onWriteFailed(ErrorCode::AlreadyExists, now);
    run.nextStoreAction(now);
    Progress other;
    other.claim = {"b#1", 9};
    other.itemCount = 5;
    run.onRead(other, "4");
    scheduler->removeEndedRuns(now);
    CHECK(!scheduler->claimNext(now));
    now += settings.reclaimDelay;
    CHECK(scheduler->claimNext(now).has_value());
}

// Guards against organisations whose models have no endpoints occupying all segments.
TEST(JobScheduler, StalledSegmentIsReleasedForAWaitingOrganisation)
{
    settings.stallTimeout = 30s;
    scheduler.emplace(settings, 1);
    for (const char *organisation : {"acme", "bolt", "core"})
        addJob(organisation, "k", {500, 500});
    read();
    claimAll();
    CHECK_EQUAL(3U, scheduler->runs().size());
    for (int round = 0; round < 20; ++round) {
        for (const ItemKey &item : startAll())
            scheduler->onOutcome(item, ItemNotRun{}, now);
        now += 2s;
        read();
        claimAll();
    }
    CHECK_EQUAL(3U, scheduler->runs().size());
    scheduler->releaseStalled(now);
    completeStoreCalls();
    CHECK_EQUAL(3U, scheduler->runs().size());
    const JobId waiting = addJob("deli", "k", {5});
    read();
    scheduler->releaseStalled(now);
    completeStoreCalls();
    CHECK_EQUAL(2U, scheduler->runs().size());
    claimAll();
    CHECK(scheduler->run({waiting, 0}) != nullptr);
}

// Guards against a fleet that writes more checkpoints than the store can handle.
TEST(JobScheduler, CheckpointsAreSpacedOut)
{
    for (const char *organisation : {"acme", "bolt", "core"})
        addJob(organisation, "k", {500});
    read();
    claimAll();
    scheduler->prepareWrites(now, 4s);
    for (const ItemKey &item : startAll())
        answer(item);
    const auto writes = [&] {
        std::size_t count = 0;
        for (const SegmentKey &key : scheduler->runs())
            count += scheduler->run(key)->nextStoreAction(now) ? 1 : 0;
        return count;
    };
    now += 11999ms;
    CHECK_EQUAL(0U, writes());
    now += 1ms;
    CHECK_EQUAL(3U, writes());
}

TEST(JobScheduler, ReleaseClaimsAndStartsNothingMore)
{
    addJob("acme", "k", {5, 5});
    read();
    claimAll();
    CHECK_EQUAL(4U, startAll().size());
    scheduler->release();
    CHECK_FALSE(scheduler->mayStart(now));
    CHECK(!scheduler->claimNext(now));
    CHECK_EQUAL(1U, scheduler->runs().size());
    scheduler->abandonItems();
    completeStoreCalls();
    CHECK(scheduler->run(scheduler->runs()[0])->end() == SegmentRun::End::Released);
}
