#include "serving/jobstore.h"

#include "base/manualclock.h"
#include "serving/jobformat.h"
#include "serving/memoryspace.h"

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using pistachiofall::tests::MemorySpace;

namespace {

constexpr std::size_t MaxObjectBytes = 4096;
constexpr const char *ResultsKind = "pistachiofall-results";

template<typename T>
T await(boost::asio::awaitable<T> operation)
{
    boost::asio::io_context context;
    std::optional<T> result;
    boost::asio::co_spawn(
            context, std::move(operation),
            [&result](const std::exception_ptr &, T value) { result = std::move(value); });
    context.run();
    return std::move(*result);
}

JobRecord newRecord(std::size_t items)
{
    JobRecord record;
    record.id = "job-1";
    record.host = "desk.example";
    record.itemCount = items;
    record.owner = "east-a-1/1";
    return record;
}

JobItem itemOf(const std::string &id)
{
    JobItem item;
    item.id = id;
    item.path = "/batch/" + id;
    return item;
}

JobResult resultOf(std::size_t index, std::size_t size)
{
    return {"item-" + std::to_string(index), false, std::string(size, 'x') + std::to_string(index)};
}

void checkResults(const JobRecord &record, std::size_t count)
{
    LONGS_EQUAL(count, record.results.size());
    for (std::size_t index = 0; index < count; ++index)
        CHECK_EQUAL("item-" + std::to_string(index), record.results[index].itemId);
}

} // namespace

TEST_GROUP(JobStore)
{
    ManualClock clock;
    DecisionLog log{clock, -1};
    std::shared_ptr<MemorySpace> space = std::make_shared<MemorySpace>(MaxObjectBytes);
    JobStore store{clock, log, space, MaxObjectBytes};

    JobRecord create(std::size_t items)
    {
        std::vector<JobItem> all;
        for (std::size_t index = 0; index < items; ++index)
            all.push_back(itemOf("item-" + std::to_string(index)));
        auto created =
                await(store.create(newRecord(items), all, clock.now() + std::chrono::hours{1}));
        CHECK(isOk(created));
        return valueOf(std::move(created));
    }

    // Writes the results in [from, to) as an owner does: those that did not fit are written again.
    JobRecord writeResults(JobStore & writer, JobRecord record, std::size_t from, std::size_t to,
                           std::size_t size)
    {
        std::size_t next = from;
        for (int writes = 0; writes < 100 && next < to; ++writes) {
            JobRecord sent = record;
            for (std::size_t index = next; index < to; ++index)
                sent.results.push_back(resultOf(index, size));
            auto written = await(writer.write(std::move(sent)));
            CHECK(isOk(written));
            record = valueOf(std::move(written));
            next = record.results.size();
        }
        return record;
    }
};

// Guards against a job that cannot be completed because its results exceed the store's limit on the
// size of an object.
TEST(JobStore, ResultsBeyondOneObjectAreStored)
{
    JobRecord record = create(200);
    record = writeResults(store, record, 0, 1, 500);
    record = writeResults(store, record, 1, 200, 500);
    CHECK_FALSE(record.isOpen());
    CHECK(space->objectCount(ResultsKind) > 1);
    JobStore reader(clock, log, space, MaxObjectBytes);
    const auto read = await(reader.read("job-1"));
    CHECK(isOk(read));
    checkResults(valueOf(read), 200);
    CHECK(valueOf(read).results[150].output == resultOf(150, 500).output);
}

// Guards against reordered, duplicated or lost results when an owner stops after it has created a
// part but before it has written the job object that refers to it.
TEST(JobStore, NextOwnerTakesOverAPartLeftBehind)
{
    JobRecord record = create(40);
    record = writeResults(store, record, 0, 4, 500);
    // The part that the owner would have created, with fewer results than are stored by now.
    SpaceObject leftBehind;
    leftBehind.name = "job-1.0";
    leftBehind.spec = encodeJobResults({resultOf(0, 500), resultOf(1, 500), resultOf(2, 500)});
    CHECK(isOk(await(space->create(ResultsKind, leftBehind))));
    JobStore next(clock, log, space, MaxObjectBytes);
    auto read = await(next.read("job-1"));
    CHECK(isOk(read));
    const JobRecord completed = writeResults(next, valueOf(std::move(read)), 4, 40, 500);
    checkResults(completed, 40);
    LONGS_EQUAL(3, completed.resultParts[0]);
    const auto reread = await(store.read("job-1"));
    CHECK(isOk(reread));
    checkResults(valueOf(reread), 40);
}

// Guards against a replaced owner that moves results the next owner has not stored.
TEST(JobStore, ReplacedOwnerChangesNothing)
{
    JobRecord record = create(40);
    record = writeResults(store, record, 0, 4, 500);
    JobRecord next = record;
    next.owner = "east-a-2/1";
    CHECK(isOk(await(store.write(next))));
    JobRecord stale = record;
    for (std::size_t index = 4; index < 10; ++index)
        stale.results.push_back(resultOf(index, 500));
    const auto written = await(store.write(stale));
    CHECK_FALSE(isOk(written));
    LONGS_EQUAL(static_cast<int>(ErrorCode::Conflict), static_cast<int>(errorOf(written).code));
    auto read = await(store.read("job-1"));
    CHECK(isOk(read));
    checkResults(valueOf(read), 4);
    JobRecord current = valueOf(std::move(read));
    checkResults(writeResults(store, current, 4, 40, 500), 40);
}

// Guards against a job received from a peer that lacks the results stored in parts.
TEST(JobStore, RecordFromAPeerIsCompleted)
{
    JobRecord record = create(20);
    record = writeResults(store, record, 0, 1, 700);
    record = writeResults(store, record, 1, 20, 700);
    auto received = decodeJobText(encodeJobText(record));
    CHECK(isOk(received));
    CHECK(valueOf(received).missingResults > 0);
    LONGS_EQUAL(20, valueOf(received).resultCount());
    const auto complete = await(store.completeResults(valueOf(std::move(received))));
    CHECK(isOk(complete));
    checkResults(valueOf(complete), 20);
}

// Guards against a job that is called certainly not stored, though an earlier submission has got as
// far as its items and may have stored it.
TEST(JobStore, EarlierSubmissionMakesARefusalUncertain)
{
    const auto deadline = clock.now() + std::chrono::hours{1};
    JobItem tooLarge = itemOf("item-0");
    tooLarge.body = std::string(2 * MaxObjectBytes, 'x');
    const auto refused = await(store.create(newRecord(1), {tooLarge}, deadline));
    CHECK_FALSE(isOk(refused));
    LONGS_EQUAL(static_cast<int>(ErrorCode::Unavailable), static_cast<int>(errorOf(refused).code));
    SpaceObject earlier;
    earlier.name = "job-1.0";
    CHECK(isOk(await(space->create("pistachiofall-items", earlier))));
    const auto uncertain = await(store.create(newRecord(1), {itemOf("item-0")}, clock.now()));
    CHECK_FALSE(isOk(uncertain));
    LONGS_EQUAL(static_cast<int>(ErrorCode::OutcomeUnknown),
                static_cast<int>(errorOf(uncertain).code));
}
