#include "fleet/admission.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(Admission){};

// Guards against requests that are rejected while slots are free.
TEST(Admission, DoesNotWaitWhileSlotsAreFree)
{
    CHECK(expectedWait({72, 3, 0, milliseconds{700}}) == milliseconds{0});
    CHECK(decideAdmission({72, 3, 0, milliseconds{700}}, milliseconds{300}) == Admission::Queue);
}

// Guards against a queue in which every request is late: 72 slots with a service time of 720 ms
// finish one request every 10 ms.
TEST(Admission, RejectsRequestsThatWouldBeLate)
{
    CHECK(decideAdmission({72, 0, 20, milliseconds{720}}, milliseconds{300}) == Admission::Queue);
    CHECK(decideAdmission({72, 0, 30, milliseconds{720}}, milliseconds{300}) == Admission::Reject);
}

// Guards against callers that are queued for a service without usable endpoints.
TEST(Admission, RejectsWithoutSlots)
{
    CHECK(decideAdmission({0, 0, 0, milliseconds{720}}, milliseconds{300}) == Admission::Reject);
}

// Guards against a Retry-After beyond the caller's deadline, and against callers that all retry at
// the same time.
TEST(Admission, SpreadsRetriesWithinTheDeadline)
{
    const ServiceLoad load{72, 0, 30, milliseconds{720}};
    const auto first = computeRetryAfter(load, milliseconds{5000}, 0);
    const auto last = computeRetryAfter(load, milliseconds{5000}, 999);
    CHECK(first >= milliseconds{250});
    CHECK(last > first);
    CHECK(last <= milliseconds{5000 / 3});
}
