#include "batch/removeexpiredjobs.h"

#include "batch/jobcodec.h"

#include "batch/batchfixture.h"

#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;
using tests::BatchFixture;

TEST_GROUP(RemoveExpiredJobs)
{
    BatchFixture fixture;

    JobId runJob(const std::string &key, int items)
    {
        const auto instance = fixture.makeInstance(1);
        const JobId id = valueOf(fixture.submit(key, BatchFixture::body(items))).id;
        instance->coordinator->onJobChanged();
        CHECK(fixture.waitForState(id, JobState::Done));
        // The state may be read before the coordinator has seen the response to its write.
        CHECK(BatchFixture::waitUntil([&] { return readJob(id).job.ended.has_value(); }));
        return id;
    }

    StoredJob readJob(const JobId &id)
    {
        const auto object = fixture.run(fixture.store->get(jobObjectName(id)));
        return {valueOf(decodeJob(valueOf(object))), valueOf(object).version};
    }

    StoredJob markExpired(StoredJob stored)
    {
        stored.job.state = JobState::Expired;
        StoredObject object = encodeJob(stored.job, BatchFixture::Shards);
        object.version = stored.version;
        stored.version = valueOf(fixture.run(fixture.store->update(object))).version;
        return stored;
    }

    std::size_t removeJobs(std::chrono::system_clock::time_point endedBefore)
    {
        std::vector<std::uint32_t> shards(BatchFixture::Shards);
        std::iota(shards.begin(), shards.end(), 0);
        auto call = removeExpiredJobs(fixture.store, shards, BatchFixture::Shards, endedBefore);
        return valueOf(fixture.run(std::move(call)));
    }

    std::size_t objectsOf(const JobId &id)
    {
        const auto list = fixture.run(fixture.store->list("job=" + id.toString()));
        return valueOf(list).objects.size();
    }
};

// Guards against results that are removed too early, and against a store that fills up with
// segments, progress and results of jobs that can no longer be read.
TEST(RemoveExpiredJobs, RemovesEverythingOfAnEndedJobAndNothingElse)
{
    const JobId expired = runJob("expired", 1203);
    const auto between = fixture.clock.wallNow() + 1ms;
    std::this_thread::sleep_for(10ms);
    const JobId kept = runJob("kept", 600);
    const JobId open = valueOf(fixture.submit("open", BatchFixture::body(5))).id;
    CHECK_EQUAL(6U, objectsOf(expired));
    CHECK_EQUAL(0U, removeJobs(between - 1h));
    CHECK_EQUAL(1203U, fixture.results(expired).size());

    CHECK_EQUAL(1U, removeJobs(between));
    CHECK_EQUAL(0U, objectsOf(expired));
    CHECK(errorOf(fixture.run(fixture.store->get(jobObjectName(expired)))).code
          == ErrorCode::NotFound);
    CHECK(errorOf(fixture.run(fixture.reader.status("acme", expired))).code == ErrorCode::NotFound);
    CHECK_EQUAL(600U, fixture.results(kept).size());
    CHECK(fixture.status(open).state == JobState::Open);
}

// Guards against an instance that is paused during a removal and then deletes objects of the same
// job, which was submitted again meanwhile under the same names.
TEST(RemoveExpiredJobs, KeepsAJobThatIsResubmitted)
{
    const JobId id = runJob("k", 5);
    const StoredJob ended = readJob(id);
    const StoredJob marked = markExpired(ended);
    CHECK_EQUAL(1U, removeJobs(fixture.clock.wallNow() + 1h));
    CHECK(valueOf(fixture.submit("k", BatchFixture::body(5))).isNew);
    for (const StoredJob &old : {ended, marked}) {
        auto call = removeExpiredJob(fixture.store, old, BatchFixture::Shards);
        const auto late = fixture.run(std::move(call));
        CHECK(!isOk(late) && errorOf(late).code == ErrorCode::Conflict);
        CHECK_EQUAL(1U, objectsOf(id));
        CHECK(fixture.status(id).state == JobState::Open);
    }
}

// Guards against a caller who sees a part of the results, and against a resubmission that becomes
// part of the job that is being removed.
TEST(RemoveExpiredJobs, ExpiredJobIsHiddenAndItsRemovalContinues)
{
    const JobId id = runJob("k", 5);
    markExpired(readJob(id));
    CHECK(errorOf(fixture.run(fixture.reader.status("acme", id))).code == ErrorCode::NotFound);
    const auto again = fixture.submit("k", BatchFixture::body(5));
    CHECK(!isOk(again) && errorOf(again).code == ErrorCode::Unavailable);
    CHECK_EQUAL(1U, removeJobs(fixture.clock.wallNow() + 1h));
    CHECK(valueOf(fixture.submit("k", BatchFixture::body(5))).isNew);
}

// Guards against a coordinator that never searches for expired jobs.
TEST(RemoveExpiredJobs, CoordinatorRemovesExpiredJobs)
{
    fixture.settings.removalInterval = 50ms;
    fixture.settings.retention = 200ms;
    const auto instance = fixture.makeInstance(1);
    const JobId id = valueOf(fixture.submit("k", BatchFixture::body(5))).id;
    instance->coordinator->onJobChanged();
    CHECK(fixture.waitForState(id, JobState::Done));
    CHECK(BatchFixture::waitUntil([&] {
        const auto object = fixture.run(fixture.store->get(jobObjectName(id)));
        return !isOk(object) && errorOf(object).code == ErrorCode::NotFound;
    }));
    CHECK_EQUAL(0U, objectsOf(id));
    CHECK_EQUAL(1U, fixture.metrics.counter("batch_jobs_removed_total").value());
}
