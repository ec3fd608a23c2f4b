#include "serving/jobformat.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(JobFormat){};

namespace {

constexpr std::size_t MaxPartBytes = 700'000;

JobItem item(const std::string &id, std::size_t bodySize)
{
    JobItem result;
    result.id = id;
    result.path = "/batch/1/" + id;
    result.headers.add("Model", "m");
    result.body = std::string(bodySize, '\0');
    return result;
}

} // namespace

// Guards against bodies and headers that change when they are encoded and decoded.
TEST(JobFormat, ItemsRoundTrip)
{
    const auto parts = encodeJobItems({item("a", 3), item("b", 0)}, MaxPartBytes);
    LONGS_EQUAL(1, parts.size());
    std::vector<JobItem> items;
    CHECK(isOk(decodeJobItems(parts[0], items)));
    LONGS_EQUAL(2, items.size());
    LONGS_EQUAL(3, items[0].body.size());
    CHECK(items[0].headers.get("Model") == "m");
    CHECK_EQUAL(std::string("/batch/1/b"), items[1].path);
}

// Guards against objects that exceed the store's size limit.
TEST(JobFormat, LargeItemsAreSplit)
{
    std::vector<JobItem> items;
    for (int index = 0; index < 20; ++index)
        items.push_back(item("i" + std::to_string(index), 100'000));
    const auto parts = encodeJobItems(items, MaxPartBytes);
    LONGS_EQUAL(4, parts.size());
    std::vector<JobItem> read;
    for (const auto &part : parts)
        CHECK(isOk(decodeJobItems(part, read)));
    LONGS_EQUAL(20, read.size());
}

// Guards against a decoded job that has lost the order or the state of its results, or its end
// flag.
TEST(JobFormat, RecordRoundTrips)
{
    JobRecord record;
    record.id = "job-1";
    record.organisation = "acme";
    record.host = "desk.example";
    record.itemCount = 3;
    record.partCount = 1;
    record.dueAfter = std::chrono::seconds{18};
    record.owner = "east-a-1/7";
    record.hasEnded = true;
    record.results = {{"b", false, "text\nmore"}, {"a", true, ""}};
    const auto decoded = decodeJobRecord(encodeJobRecord(record));
    CHECK(isOk(decoded));
    LONGS_EQUAL(2, valueOf(decoded).results.size());
    CHECK_EQUAL(std::string("text\nmore"), valueOf(decoded).results[0].output);
    CHECK(valueOf(decoded).results[1].isDead);
    CHECK(valueOf(decoded).hasEnded);
    CHECK(valueOf(decoded).dueAfter == std::chrono::seconds{18});
    CHECK_EQUAL(std::string("east-a-1/7"), valueOf(decoded).owner);
}

// Guards against a difference between a job read from its owner and one read from the store.
TEST(JobFormat, TextRoundTrips)
{
    JobRecord record;
    record.id = "job-1";
    record.revision = 12;
    record.host = "desk.example";
    record.itemCount = 2;
    record.results = {{"b", false, "text"}};
    const auto decoded = decodeJobText(encodeJobText(record));
    CHECK(isOk(decoded));
    CHECK_EQUAL(std::string("job-1"), valueOf(decoded).id);
    LONGS_EQUAL(12, valueOf(decoded).revision);
    CHECK_EQUAL(std::string("text"), valueOf(decoded).results[0].output);
    CHECK_FALSE(isOk(decodeJobText("{}")));
}

// Guards against decoding an object of another writer as a job.
TEST(JobFormat, RejectsOtherObjects)
{
    SpaceObject object;
    object.name = "note";
    CHECK_FALSE(isOk(decodeJobRecord(object)));
}

// Guards against failures that are lost on the way to the next owner, and against entries that no
// owner has written.
TEST(JobFormat, FailuresRoundTrip)
{
    JobRecord record;
    record.id = "job-1";
    record.host = "desk.example";
    record.itemCount = 3;
    record.failures["a"] = {2, false};
    record.failures["b"] = {0, true};
    const auto decoded = decodeJobRecord(encodeJobRecord(record));
    CHECK(isOk(decoded));
    CHECK(valueOf(decoded).failures == record.failures);
    SpaceObject odd = encodeJobRecord(record);
    odd.status.as_object()["failures"] = boost::json::array{
            7, boost::json::object{{"id", "c"}, {"count", -4}, {"unprocessable", "yes"}}};
    const auto read = decodeJobRecord(odd);
    CHECK(isOk(read));
    CHECK(valueOf(read).failures.empty());
}
