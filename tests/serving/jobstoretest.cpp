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

    // Adds the results from the one to the other, as an owner does: what did not fit comes again.
    JobRecord writeResults(JobStore & by, JobRecord record, std::size_t from, std::size_t to,
                           std::size_t size)
    {
        std::size_t next = from;
        for (int writes = 0; writes < 100 && next < to; ++writes) {
            JobRecord sent = record;
            for (std::size_t index = next; index < to; ++index)
                sent.results.push_back(resultOf(index, size));
            auto written = await(by.write(std::move(sent)));
            CHECK(isOk(written));
            record = valueOf(std::move(written));
            next = record.results.size();
        }
        return record;
    }
};

// Guards against a job that can not be completed because its results exceed the store's bound on
// objects.
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

// Guards against results that change place, appear twice or disappear when an owner ends between
// the move of results and the write of the job that names them.
TEST(JobStore, NextOwnerTakesOverAPartLeftBehind)
{
    JobRecord record = create(40);
    record = writeResults(store, record, 0, 4, 500);
    // The object that the owner would have created, with fewer results than are stored by now.
    SpaceObject leftBehind;
    leftBehind.name = "job-1.0";
    leftBehind.spec = encodeJobResults({resultOf(0, 500), resultOf(1, 500), resultOf(2, 500)});
    CHECK(isOk(await(space->create(ResultsKind, leftBehind))));
    JobStore next(clock, log, space, MaxObjectBytes);
    auto read = await(next.read("job-1"));
    CHECK(isOk(read));
    const JobRecord done = writeResults(next, valueOf(std::move(read)), 4, 40, 500);
    checkResults(done, 40);
    LONGS_EQUAL(3, done.resultParts[0]);
    const auto seen = await(store.read("job-1"));
    CHECK(isOk(seen));
    checkResults(valueOf(seen), 40);
}

// Guards against an owner that was replaced and moves results that the next owner did not store.
TEST(JobStore, ReplacedOwnerChangesNothing)
{
    JobRecord record = create(40);
    record = writeResults(store, record, 0, 4, 500);
    JobRecord next = record;
    next.owner = "east-a-2/1";
    CHECK(isOk(await(store.write(next))));
    JobRecord late = record;
    for (std::size_t index = 4; index < 10; ++index)
        late.results.push_back(resultOf(index, 500));
    const auto written = await(store.write(late));
    CHECK_FALSE(isOk(written));
    LONGS_EQUAL(static_cast<int>(ErrorCode::Conflict), static_cast<int>(errorOf(written).code));
    auto read = await(store.read("job-1"));
    CHECK(isOk(read));
    checkResults(valueOf(read), 4);
    JobRecord taken = valueOf(std::move(read));
    checkResults(writeResults(store, taken, 4, 40, 500), 40);
}

// Guards against a head that a peer tells without the results that lie in parts.
TEST(JobStore, HeadFromAPeerIsCompleted)
{
    JobRecord record = create(20);
    record = writeResults(store, record, 0, 1, 700);
    record = writeResults(store, record, 1, 20, 700);
    auto told = decodeJobText(encodeJobText(record));
    CHECK(isOk(told));
    CHECK(valueOf(told).missingResults > 0);
    LONGS_EQUAL(20, valueOf(told).resultCount());
    const auto complete = await(store.completeResults(valueOf(std::move(told))));
    CHECK(isOk(complete));
    checkResults(valueOf(complete), 20);
}
