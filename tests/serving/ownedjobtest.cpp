#include "serving/ownedjob.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::seconds;

TEST_GROUP(OwnedJob){};

namespace {

constexpr SteadyTime Start{seconds{100}};

JobResult result(const std::string &id)
{
    return {id, false, "output of " + id};
}

OwnedJob jobOf(std::uint64_t revision, std::vector<JobResult> unwritten)
{
    OwnedJob job;
    job.record.id = "job-1";
    job.record.itemCount = 4;
    job.record.revision = revision;
    job.unwritten = std::move(unwritten);
    return job;
}

JobRecord recordWith(const OwnedJob &job, std::uint64_t revision, std::vector<JobResult> results)
{
    JobRecord record = job.record;
    record.revision = revision;
    record.results = std::move(results);
    return record;
}

} // namespace

// Guards against a crash by invalid memory access, or lost results, when a read returns the results
// of a write before that write is acknowledged.
TEST(OwnedJob, ReadPrecedesAcknowledgementOfWrite)
{
    OwnedJob job = jobOf(5, {result("a"), result("b")});
    const JobRecord written = recordWith(job, 6, {result("a"), result("b")});
    job.unwritten.push_back(result("c"));
    CHECK(job.applyStored(written, Start));
    CHECK(job.applyStored(written, Start + seconds{1}));
    LONGS_EQUAL(1, job.unwritten.size());
    STRCMP_EQUAL("c", job.unwritten[0].itemId.c_str());
    LONGS_EQUAL(3, job.finishedCount());
    CHECK(job.confirmed == Start + seconds{1});
}

// Guards against an acknowledged write that replaces a newer state, such as the end of the job.
TEST(OwnedJob, NewerRecordIsKept)
{
    OwnedJob job = jobOf(5, {result("a")});
    const JobRecord written = recordWith(job, 6, {result("a")});
    JobRecord ended = recordWith(job, 7, {result("a")});
    ended.hasEnded = true;
    CHECK(job.applyStored(ended, Start));
    CHECK(!job.applyStored(written, Start + seconds{1}));
    CHECK(job.record.hasEnded);
    LONGS_EQUAL(7, job.record.revision);
    CHECK(job.unwritten.empty());
}

// Guards against dropping results that the store does not hold.
TEST(OwnedJob, UnstoredResultsAreKept)
{
    OwnedJob job = jobOf(5, {result("a"), result("b")});
    CHECK(job.applyStored(recordWith(job, 5, {}), Start));
    LONGS_EQUAL(2, job.unwritten.size());
}

// Guards against failures that are forgotten with their owner, or stored for finished items.
TEST(OwnedJob, FailuresAreToBeStoredUntilTheItemHasAResult)
{
    OwnedJob job = jobOf(5, {});
    job.items.resize(2);
    job.items[0].id = "a";
    job.items[1].id = "b";
    job.progress.resize(2);
    CHECK(!job.hasUnstoredFailures());
    job.progress[0].failures.count = 2;
    job.progress[1].failures.isUnprocessable = true;
    CHECK(job.hasUnstoredFailures());
    CHECK(!job.areFailuresStored(0));
    LONGS_EQUAL(2, job.unfinishedFailures({}).size());
    LONGS_EQUAL(1, job.unfinishedFailures({result("b")}).size());
    JobRecord written = recordWith(job, 6, {result("b")});
    written.failures["a"] = {2, false};
    CHECK(job.applyStored(written, Start));
    CHECK(job.areFailuresStored(0));
    CHECK(!job.hasUnstoredFailures());
    ++job.progress[0].failures.count;
    CHECK(job.hasUnstoredFailures());
}
