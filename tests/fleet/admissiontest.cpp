#include "fleet/admission.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(Admission){};

// Guards against a request that is refused while slots are free.
TEST(Admission, WaitsNotWhenSlotsAreFree)
{
    CHECK(expectedWait({72, 3, 0, milliseconds{700}}) == milliseconds{0});
    CHECK(decideAdmission({72, 3, 0, milliseconds{700}}, milliseconds{300}) == Admission::Wait);
}

// Guards against a queue in which every request is late: 72 slots of 720 ms serve one in 10 ms.
TEST(Admission, RefusesWhatWouldBeLate)
{
    CHECK(decideAdmission({72, 0, 20, milliseconds{720}}, milliseconds{300}) == Admission::Wait);
    CHECK(decideAdmission({72, 0, 30, milliseconds{720}}, milliseconds{300}) == Admission::Refuse);
}

// Guards against a service without usable endpoints that keeps its callers waiting.
TEST(Admission, RefusesWithoutSlots)
{
    CHECK(decideAdmission({0, 0, 0, milliseconds{720}}, milliseconds{300}) == Admission::Refuse);
}

// Guards against callers that give up before they may come back, or all come back at once.
TEST(Admission, SpreadsTheRetriesWithinTheDeadline)
{
    const ServiceLoad load{72, 0, 30, milliseconds{720}};
    const auto first = retryAfterFor(load, milliseconds{5000}, 0);
    const auto last = retryAfterFor(load, milliseconds{5000}, 999);
    CHECK(first >= milliseconds{250});
    CHECK(last > first);
    CHECK(last <= milliseconds{5000 / 3});
}
