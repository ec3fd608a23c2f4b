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
    job.head.id = "job-1";
    job.head.itemCount = 4;
    job.head.revision = revision;
    job.unwritten = std::move(unwritten);
    return job;
}

JobHead headWith(const OwnedJob &job, std::uint64_t revision, std::vector<JobResult> results)
{
    JobHead head = job.head;
    head.revision = revision;
    head.results = std::move(results);
    return head;
}

} // namespace

// Guards against a process that ends by a memory fault, or loses results, when a read of the job
// finds the results of a write before that write is acknowledged.
TEST(OwnedJob, ReadOvertakesTheAnswerOfAWrite)
{
    OwnedJob job = jobOf(5, {result("a"), result("b")});
    const JobHead written = headWith(job, 6, {result("a"), result("b")});
    job.unwritten.push_back(result("c"));
    CHECK(job.takeStored(written, Start));
    CHECK(job.takeStored(written, Start + seconds{1}));
    LONGS_EQUAL(1, job.unwritten.size());
    STRCMP_EQUAL("c", job.unwritten[0].itemId.c_str());
    LONGS_EQUAL(3, job.finishedCount());
    CHECK(job.acknowledged == Start + seconds{1});
}

// Guards against an acknowledged write that hides a newer state, such as the end of the job.
TEST(OwnedJob, NewerHeadStays)
{
    OwnedJob job = jobOf(5, {result("a")});
    const JobHead written = headWith(job, 6, {result("a")});
    JobHead ended = headWith(job, 7, {result("a")});
    ended.hasEnded = true;
    CHECK(job.takeStored(ended, Start));
    CHECK(!job.takeStored(written, Start + seconds{1}));
    CHECK(job.head.hasEnded);
    LONGS_EQUAL(7, job.head.revision);
    CHECK(job.unwritten.empty());
}

// Guards against results that are dropped although the store does not hold them.
TEST(OwnedJob, ResultsThatAreNotStoredStay)
{
    OwnedJob job = jobOf(5, {result("a"), result("b")});
    CHECK(job.takeStored(headWith(job, 5, {}), Start));
    LONGS_EQUAL(2, job.unwritten.size());
}
