#include "serving/jobformat.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(JobFormat){};

namespace {

constexpr std::size_t MaxPartBytes = 700'000;

JobItem item(const std::string &id, std::size_t bodySize)
{
    JobItem each;
    each.id = id;
    each.path = "/batch/1/" + id;
    each.headers.add("Model", "m");
    each.body = std::string(bodySize, '\0');
    return each;
}

} // namespace

// Guards against bodies and headers that come back with other bytes.
TEST(JobFormat, ItemsComeBackAsTheyWere)
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

// Guards against objects that are larger than the store accepts.
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

// Guards against results that lose their order, their state or their end.
TEST(JobFormat, HeadComesBackAsItWas)
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

// Guards against a job that reads otherwise from its owner than from the store.
TEST(JobFormat, TextComesBackAsItWas)
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

// Guards against an object of another writer that is taken for a job.
TEST(JobFormat, RefusesOtherObjects)
{
    SpaceObject object;
    object.name = "note";
    CHECK_FALSE(isOk(decodeJobRecord(object)));
}
