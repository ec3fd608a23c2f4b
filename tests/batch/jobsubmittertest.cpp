#include "batch/jobsubmitter.h"

#include "batch/jobbodyreader.h"
#include "batch/jobcodec.h"

#include "batch/batchfixture.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(JobBodyReader){
        static std::string errorOfBody(const std::string &text){JobBodyReader body;
auto added = body.add(text);
if (isOk(added))
    added = body.finish();
return isOk(added) ? std::string() : errorOf(added).message;
}
}
;

// Guards against segments and hashes, and so a resubmitted job, that depend on how the connection
// splits the body.
TEST(JobBodyReader, SegmentsAndHashDoNotDependOnPieces)
{
    const std::string text = tests::BatchFixture::body(1203) + "\r\n";
    std::optional<ContentHash> expected;
    for (const std::size_t size : {std::size_t{7}, std::size_t{4096}, text.size()}) {
        JobBodyReader body;
        std::vector<std::size_t> segments;
        const auto take = [&] {
            while (const auto items = body.takeSegment())
                segments.push_back(items->size());
        };
        for (std::size_t at = 0; at < text.size(); at += size) {
            CHECK(isOk(body.add(text.substr(at, size))));
            take();
        }
        CHECK(isOk(body.finish()));
        take();
        CHECK(segments == (std::vector<std::size_t>{500, 500, 203}));
        CHECK_EQUAL(1203U, body.itemCount());
        const ContentHash hash = body.bodyHash();
        CHECK(!expected || *expected == hash);
        expected = hash;
    }
}

TEST(JobBodyReader, ErrorsNameTheLine)
{
    const std::string good = tests::lineOf(tests::makeItem("a"));
    STRCMP_CONTAINS("line 3: batch item", errorOfBody(good + "\n{}\n").c_str());
    STRCMP_CONTAINS("line 2: custom_id 'a'", errorOfBody(good + good).c_str());
    STRCMP_CONTAINS("line 1 has more than",
                    errorOfBody(std::string(MaxItemBytes + 1, 'x')).c_str());
    STRCMP_CONTAINS("no items", errorOfBody("\n\n").c_str());
}

TEST_GROUP(JobSubmitter)
{
    tests::BatchFixture fixture;
};

TEST(JobSubmitter, StoresSegmentsAndTheJob)
{
    const auto submitted = fixture.submit("k", tests::BatchFixture::body(1203));
    CHECK(isOk(submitted));
    CHECK(valueOf(submitted).isNew);
    CHECK_EQUAL(1203U, valueOf(submitted).itemCount);
    const auto object = fixture.run(fixture.store->get(jobObjectName(valueOf(submitted).id)));
    const auto job = decodeJob(valueOf(object));
    CHECK_EQUAL(3U, valueOf(job).segments.size());
    const JobStatus status = fixture.status(valueOf(submitted).id);
    CHECK(status.state == JobState::Open);
    CHECK_EQUAL(1203U, status.total);
    CHECK_EQUAL(0U, status.done);
}

// Guards against items that run twice because their caller did not get the response to the first
// submission and submitted again.
TEST(JobSubmitter, ResendFindsTheJob)
{
    const std::string text = tests::BatchFixture::body(10);
    const auto first = fixture.submit("k", text);
    const auto second = fixture.submit("k", text, 13);
    CHECK(isOk(second));
    CHECK_FALSE(valueOf(second).isNew);
    CHECK(valueOf(first).id == valueOf(second).id);
    CHECK_EQUAL(10U, valueOf(second).itemCount);
    CHECK(isOk(fixture.cancel(valueOf(first).id)));
    CHECK(isOk(fixture.submit("k", text)));
}

TEST(JobSubmitter, OtherItemsUnderTheSameKeyAreRejected)
{
    const auto first = fixture.submit("k", tests::BatchFixture::body(10));
    const auto second = fixture.submit("k", tests::BatchFixture::body(11));
    CHECK(errorOf(second).code == ErrorCode::AlreadyExists);
    STRCMP_CONTAINS(valueOf(first).id.toString().c_str(), errorOf(second).message.c_str());
}

TEST(JobSubmitter, ConcurrentResendsMakeOneJob)
{
    std::vector<std::future<Result<SubmittedJob>>> submissions;
    submissions.reserve(8);
    for (int index = 0; index < 8; ++index)
        submissions.push_back(fixture.startSubmit("k", tests::BatchFixture::body(600)));
    int created = 0;
    for (auto &submission : submissions) {
        const auto submitted = submission.get();
        CHECK(isOk(submitted));
        created += valueOf(submitted).isNew ? 1 : 0;
    }
    CHECK_EQUAL(1, created);
}

// Guards against a job that is created but reported as failed, or created twice, because a response
// of the store was lost.
TEST(JobSubmitter, LostAnswersAreResolved)
{
    for (const char *count : {"1", "2", "3"}) {
        CHECK(fixture.control("/control?lose-answers=" + std::string(count)) == "ok");
        const auto submitted = fixture.submit(count, tests::BatchFixture::body(600));
        CHECK(isOk(submitted));
        CHECK_EQUAL(600U, fixture.status(valueOf(submitted).id).total);
    }
}

// Guards against acknowledging a job that the store has not stored.
TEST(JobSubmitter, StoreDownIsAnError)
{
    CHECK(fixture.control("/control?mode=down") == "ok");
    const auto submitted = fixture.submit("k", tests::BatchFixture::body(10));
    CHECK(errorOf(submitted).code == ErrorCode::Unavailable);
}

TEST(JobSubmitter, KeyAndOrganisationAreChecked)
{
    CHECK(errorOf(fixture.submit("", "x")).code == ErrorCode::InvalidArgument);
    const auto submitted = fixture.submit("k", tests::BatchFixture::body(1));
    const JobId id = valueOf(submitted).id;
    CHECK(errorOf(fixture.run(fixture.reader.status("bolt", id))).code == ErrorCode::NotFound);
    CHECK(errorOf(fixture.run(fixture.reader.results("bolt", id))).code == ErrorCode::NotFound);
    CHECK(errorOf(fixture.run(cancelJob(fixture.store, 16, "bolt", id))).code
          == ErrorCode::NotFound);
}
