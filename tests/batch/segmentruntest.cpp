#include "batch/segmentrun.h"

#include "batch/samples.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;
using Phase = SegmentRun::Phase;
using End = SegmentRun::End;

TEST_GROUP(SegmentRun)
{
    SegmentRunSettings settings;
    SegmentRun::TimePoint now{1h};
    SegmentRun run{{"a#1", 5}, 2, false, settings, 1};

    template<typename Action>
    Action next()
    {
        const auto action = run.nextStoreAction(now);
        const bool isExpected = action && std::holds_alternative<Action>(*action);
        CHECK(isExpected);
        return isExpected ? std::get<Action>(*action) : Action{};
    }

    void claim(bool isIdempotent = true)
    {
        run.onLoaded({isIdempotent, isIdempotent});
        next<CreateProgress>();
        run.onWritten("1", now);
    }

    void answer(std::uint32_t item)
    {
        CHECK(run.startNext(now) == item);
        run.onOutcome(item, ItemAnswer{200, "{}"}, now);
    }

    static Progress stored(const std::string &owner, std::uint64_t epoch)
    {
        Progress progress;
        progress.claim = {owner, epoch};
        progress.itemCount = 2;
        return progress;
    }
};

TEST(SegmentRun, ClaimsRunsAndFinishes)
{
    CHECK(!run.nextStoreAction(now));
    run.onLoaded({true, true});
    const auto created = next<CreateProgress>();
    CHECK(created.progress.claim == (SegmentClaim{"a#1", 5}));
    CHECK(!run.nextStoreAction(now));
    CHECK(!run.startNext(now));
    run.onWritten("1", now);
    answer(0);
    CHECK(!run.nextStoreAction(now));
    answer(1);
    const auto final = next<UpdateProgress>();
    STRCMP_EQUAL("1", final.version.c_str());
    CHECK(final.progress.isClosed);
    CHECK_EQUAL(2U, final.progress.results.size());
    run.onWritten("2", now);
    CHECK(run.phase() == Phase::Ended);
    CHECK(run.end() == End::Finished);
    CHECK(run.storedCounts() == (ResultCounts{2, 0}));
}

// Guards against results that stay only in memory for longer than the checkpoint interval.
TEST(SegmentRun, StoresResultsEveryFiveSeconds)
{
    claim();
    answer(0);
    now += 4999ms;
    CHECK(!run.nextStoreAction(now));
    now += 1ms;
    CHECK_EQUAL(1U, next<UpdateProgress>().progress.results.size());
    run.onWritten("2", now);
    now += 60s;
    CHECK(!run.nextStoreAction(now));
}

// Guards against two owners of a segment: the claim in the stored object decides, not what this
// instance assumes.
TEST(SegmentRun, TakesOverOnlyLowerEpochsAndReleasedClaims)
{
    struct Case
    {
        const char *owner;
        std::uint64_t epoch;
        bool mayClaim;
    };
    for (const Case &entry : {Case{"b#1", 4, true}, Case{"b#1", 5, false}, Case{"b#1", 6, false},
                              Case{"", 5, true}, Case{"", 6, false}, Case{"a#1", 5, true}}) {
        run = SegmentRun({"a#1", 5}, 2, false, settings, 1);
        run.onLoaded({true, true});
        next<CreateProgress>();
        run.onWriteFailed(ErrorCode::AlreadyExists, now);
        next<ReadProgress>();
        run.onRead(stored(entry.owner, entry.epoch), "8");
        if (entry.mayClaim) {
            STRCMP_EQUAL("8", next<UpdateProgress>().version.c_str());
        } else {
            CHECK(run.phase() == Phase::Ended);
            CHECK(run.end() == End::Lost);
        }
    }
}

TEST(SegmentRun, FindsFinishedSegment)
{
    run.onLoaded({true, true});
    next<CreateProgress>();
    run.onWriteFailed(ErrorCode::AlreadyExists, now);
    next<ReadProgress>();
    Progress progress = stored("b#1", 9);
    progress.isClosed = true;
    progress.results = {{0, tests::makeAnswer("{}")}, {1, tests::makeAnswer("{}")}};
    run.onRead(progress, "8");
    CHECK(run.end() == End::Finished);
    CHECK(run.storedCounts() == (ResultCounts{2, 0}));
}

// Guards against a former owner that overwrites the results of its successor.
TEST(SegmentRun, ConflictWithAnotherOwnerLosesTheSegment)
{
    claim();
    answer(0);
    now += 5s;
    next<UpdateProgress>();
    run.onWriteFailed(ErrorCode::Conflict, now);
    next<ReadProgress>();
    CHECK(run.startNext(now) == 1U);
    run.onRead(stored("b#1", 6), "9");
    CHECK(run.end() == End::Lost);
    CHECK(run.isStopping());
    CHECK_EQUAL(1U, run.runningCount());
    run.onOutcome(1, ItemRevoked{}, now);
    CHECK_EQUAL(0U, run.runningCount());
    CHECK(!run.nextStoreAction(now));
}

// Guards against giving up a segment because the response to its own write was lost.
TEST(SegmentRun, LostAnswerIsResolvedByReadingBack)
{
    claim();
    answer(0);
    now += 5s;
    const auto sent = next<UpdateProgress>();
    run.onWriteFailed(ErrorCode::OutcomeUnknown, now);
    CHECK(!run.nextStoreAction(now));
    now += 1s;
    next<ReadProgress>();
    run.onRead(sent.progress, "2");
    answer(1);
    STRCMP_EQUAL("2", next<UpdateProgress>().version.c_str());
    run.onWriteFailed(ErrorCode::TimedOut, now);
    now += 1s;
    next<ReadProgress>();
    run.onRead(sent.progress, "2");
    const auto again = next<UpdateProgress>();
    STRCMP_EQUAL("2", again.version.c_str());
    CHECK(again.progress.isClosed);
    run.onWriteFailed(ErrorCode::TimedOut, now);
    now += 1s;
    next<ReadProgress>();
    run.onRead(again.progress, "3");
    CHECK(run.end() == End::Finished);
    CHECK(run.storedCounts() == (ResultCounts{2, 0}));
}

// Guards against a write with an unknown outcome that removes a mark after the item has started.
TEST(SegmentRun, MarksAreNotTrustedAfterUnknownWrite)
{
    claim(false);
    now += 1s;
    run.mark(1, now);
    const auto marked = next<UpdateProgress>();
    CHECK(marked.progress.started == std::set<std::uint32_t>{0});
    run.onWriteFailed(ErrorCode::TimedOut, now);
    now += 1s;
    next<ReadProgress>();
    run.onRead(marked.progress, "2");
    CHECK(!run.startNext(now));
    next<UpdateProgress>();
    run.onWritten("3", now);
    CHECK(run.startNext(now) == 0U);
}

// Guards against starting an item whose mark has not been stored, and checks that one write stores
// many marks.
TEST(SegmentRun, ManyMarksShareAWrite)
{
    claim(false);
    run.mark(2, now);
    CHECK(!run.nextStoreAction(now));
    now += settings.markInterval;
    CHECK_EQUAL(2U, next<UpdateProgress>().progress.started.size());
    run.onWritten("2", now);
    CHECK(run.startNext(now) == 0U);
    CHECK(run.startNext(now) == 1U);
}

// Guards against starting items of a cancelled job, and against losing results.
TEST(SegmentRun, CloseStoresWhatEndedAndStartsNothing)
{
    claim();
    CHECK(run.startNext(now) == 0U);
    run.close();
    CHECK(run.isStopping());
    CHECK(!run.startNext(now));
    CHECK(!run.nextStoreAction(now));
    run.onOutcome(0, ItemAnswer{200, "{}"}, now);
    const auto final = next<UpdateProgress>();
    CHECK(final.progress.isClosed);
    CHECK_EQUAL(1U, final.progress.results.size());
    run.onWritten("2", now);
    CHECK(run.end() == End::Finished);
}

TEST(SegmentRun, CloseOfUnclaimedSegmentCreatesNothing)
{
    run = SegmentRun({"a#1", 5}, 2, true, settings, 1);
    next<ReadProgress>();
    run.onRead(std::nullopt, {});
    CHECK(run.end() == End::Absent);
}

// Guards against the former coordinator of a cancelled job storing results after the end of the
// job.
TEST(SegmentRun, CloseTakesOverAndEndsTheSegment)
{
    run = SegmentRun({"a#1", 5}, 2, true, settings, 1);
    next<ReadProgress>();
    Progress progress = stored("b#1", 4);
    progress.started = {1};
    run.onRead(progress, "8");
    next<UpdateProgress>();
    run.onWritten("9", now);
    CHECK(!run.startNext(now));
    const auto final = next<UpdateProgress>();
    CHECK(final.progress.isClosed);
    CHECK(final.progress.results.at(1)->isFailed());
}

// Guards against a planned stop that leaves marks of items that were not sent.
TEST(SegmentRun, ReleaseGivesTheClaimBack)
{
    claim(false);
    now += 1s;
    run.mark(2, now);
    next<UpdateProgress>();
    run.onWritten("2", now);
    CHECK(run.startNext(now) == 0U);
    run.release();
    CHECK(!run.startNext(now));
    CHECK(!run.nextStoreAction(now));
    run.abandonItems();
    const auto final = next<UpdateProgress>();
    CHECK(final.progress.claim == (SegmentClaim{"", 5}));
    CHECK(final.progress.started == std::set<std::uint32_t>{0});
    CHECK_FALSE(final.progress.isClosed);
    run.onWritten("3", now);
    CHECK(run.end() == End::Released);
}

// Guards against calling an unavailable store without a delay.
TEST(SegmentRun, WaitsAfterFailedCalls)
{
    run.onLoaded({true, true});
    next<CreateProgress>();
    run.onWriteFailed(ErrorCode::Unavailable, now);
    CHECK(!run.nextStoreAction(now));
    now += 2s;
    next<CreateProgress>();
    run.onWriteFailed(ErrorCode::TimedOut, now);
    now += 2s;
    next<ReadProgress>();
    run.onReadFailed(now);
    CHECK(!run.nextStoreAction(now));
    now += 2s;
    next<ReadProgress>();
    run.onRead(std::nullopt, {});
    next<CreateProgress>();
}

TEST(SegmentRun, ResultsThatMovedToAPartAreWrittenAsAPart)
{
    claim();
    answer(0);
    now += 5s;
    next<UpdateProgress>();
    const ResultPart part{{ContentHash{}}, {0}, 0};
    run.onPartStored(part);
    const auto written = next<UpdateProgress>();
    CHECK(written.progress.results.empty());
    CHECK(written.progress.parts == std::vector<ResultPart>{part});
    CHECK(written.progress.counts() == (ResultCounts{1, 0}));
}
