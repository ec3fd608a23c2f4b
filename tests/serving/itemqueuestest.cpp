#include "serving/itemqueues.h"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(ItemQueues)
{
    ItemQueues queues;
    std::shared_ptr<OwnedJob> job = std::make_shared<OwnedJob>();
    std::vector<std::size_t> started;

    void add(const std::string &service, std::size_t index, int remainingMs, bool isLate = false)
    {
        queues.add(service, {{isLate, milliseconds{remainingMs}, {}}, job, index});
    }
    // Starts items while there are slots; the items from 100 on belong to a service without any.
    void startItems(std::size_t slots)
    {
        queues.startItems([this, slots](const QueuedItem &item) {
            if (item.index >= 100 || started.size() == slots)
                return ItemQueues::Start::NoSlot;
            started.push_back(item.index);
            return ItemQueues::Start::Done;
        });
    }
};

// Guards against items of a service without endpoints, which go first by their rank, that keep all
// others from starting.
TEST(ItemQueues, AServiceWithoutSlotsHoldsUpNoOther)
{
    add("aaa", 100, 1);
    add("chat", 1, 500);
    add("chat", 2, 400, true);
    add("zzz", 101, 1);
    startItems(10);
    CHECK_EQUAL(2U, started.size());
    CHECK_EQUAL(1U, started[0]);
    CHECK_EQUAL(2U, started[1]);
    CHECK_EQUAL(2U, queues.counts().size());
    CHECK_EQUAL(1U, queues.counts().at("aaa"));
    CHECK_EQUAL(1U, queues.counts().at("zzz"));
}

// Guards against a slot that goes to an item behind the first one of its service.
TEST(ItemQueues, ItemsOfOneServiceStartInTheOrderOfTheirRanks)
{
    add("chat", 3, 30);
    add("chat", 1, 10);
    add("chat", 4, 5, true);
    add("chat", 2, 20);
    startItems(3);
    const std::vector<std::size_t> expected{1, 2, 3};
    CHECK(started == expected);
    CHECK_EQUAL(1U, queues.counts().at("chat"));
}
