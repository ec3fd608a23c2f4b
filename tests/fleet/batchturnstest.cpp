#include "fleet/batchturns.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(BatchTurns){};

// Guards against instances that all start an item in the same free slot, and against one that never
// may.
TEST(BatchTurns, OneInstanceAtATimeAndEachInTurn)
{
    const std::vector<std::string> names{"a", "b", "c", "d"};
    std::vector<std::unique_ptr<BatchTurns>> instances;
    for (const std::string &name : names) {
        instances.push_back(std::make_unique<BatchTurns>(name));
        for (const std::string &peer : names) {
            if (peer != name)
                instances.back()->setWaiting(peer, {{"chat", 5}}, true);
        }
    }
    std::vector<int> turns(names.size(), 0);
    for (std::uint64_t turn = 100; turn < 108; ++turn) {
        int holders = 0;
        for (std::size_t index = 0; index < names.size(); ++index) {
            const bool hasTurn = instances[index]->hasTurn("e1", "chat", true, turn);
            turns[index] += hasTurn ? 1 : 0;
            holders += hasTurn ? 1 : 0;
        }
        CHECK_EQUAL(1, holders);
    }
    for (const int count : turns)
        CHECK_EQUAL(2, count);
}

// Guards against slots that stay free for instances that have nothing to start there.
TEST(BatchTurns, OnlyThoseWithItemsWaitingCompete)
{
    BatchTurns turns("a");
    CHECK(turns.hasTurn("e1", "chat", true, 1));
    turns.setWaiting("b", {{"chat", 0}}, true);
    turns.setWaiting("c", {{"chat", 3}}, false);
    CHECK(turns.hasTurn("e1", "chat", true, 1));
    CHECK(turns.hasTurn("e1", "chat", true, 2));
    CHECK(turns.hasTurn("e1", "chat", false, 1) != turns.hasTurn("e1", "chat", false, 2));
    turns.remove("c");
    CHECK(turns.hasTurn("e1", "chat", false, 1));
    CHECK(turns.hasTurn("e1", "chat", false, 2));
    turns.setWaiting("a", {{"chat", 0}}, true);
    CHECK(turns.hasTurn("e1", "chat", true, 1));
}

// Guards against endpoints that stand idle for instances whose items wait for those of another
// service.
TEST(BatchTurns, ItemsOfAnotherServiceTakeNoTurns)
{
    BatchTurns turns("a");
    for (const std::string peer : {"b", "c", "d"})
        turns.setWaiting(peer, {{"tag", 40}}, true);
    for (std::uint64_t turn = 0; turn < 8; ++turn)
        CHECK(turns.hasTurn("e1", "chat", true, turn));
    // The peer's items of the other service have been started.
    turns.setWaiting("b", {{"chat", 1}}, true);
    CHECK(turns.hasTurn("e1", "chat", true, 1) != turns.hasTurn("e1", "chat", true, 2));
    turns.setWaiting("b", {}, true);
    CHECK(turns.hasTurn("e1", "chat", true, 1));
    CHECK(turns.hasTurn("e1", "chat", true, 2));
}
