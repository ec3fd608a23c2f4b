#include "http/bufferbudget.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

namespace {

constexpr std::size_t Free = BufferShare::FreeBytes;

} // namespace

TEST_GROUP(BufferBudget)
{
    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(1000);
};

// Guards against messages that together take more memory than there is.
TEST(BufferBudget, AllSharesTogetherStayWithinTheBudget)
{
    BufferShare first(budget);
    BufferShare second(budget);
    CHECK(first.resize(Free + 700));
    CHECK(!second.resize(Free + 301));
    CHECK_EQUAL(700U, budget->used());
    CHECK(second.resize(Free + 300));
    CHECK(!first.resize(Free + 701));
    CHECK(first.resize(Free + 100));
    CHECK_EQUAL(400U, budget->used());
}

// Guards against small messages that are refused because large ones have used up the budget.
TEST(BufferBudget, SmallMessagesNeedNoRoom)
{
    BufferShare large(budget);
    CHECK(large.resize(Free + 1000));
    BufferShare small(budget);
    CHECK(small.resize(Free));
    CHECK(!small.resize(Free + 1));
}

// Guards against a budget that shrinks with each message.
TEST(BufferBudget, IsGivenBackWithTheMessage)
{
    {
        BufferShare share(budget);
        CHECK(share.resize(Free + 600));
        BufferShare moved = std::move(share);
        BufferShare assigned(budget);
        CHECK(assigned.resize(Free + 100));
        assigned = std::move(moved);
        CHECK_EQUAL(700U, budget->used());
    }
    CHECK_EQUAL(0U, budget->used());
    BufferShare unlimited;
    CHECK(unlimited.resize(Free * 1000));
}
