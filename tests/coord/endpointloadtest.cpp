#include "coord/endpointload.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(EndpointLoad){};

// Guards against batch requests that use the slots reserved for online requests.
TEST(EndpointLoad, BatchIsFullBeforeOnline)
{
    CHECK_EQUAL(1, batchShare(1));
    CHECK_EQUAL(1, batchShare(2));
    CHECK_EQUAL(6, batchShare(8));
    CHECK_TRUE(isFull({6, 8, 0}, WorkClass::Batch));
    CHECK_FALSE(isFull({6, 8, 0}, WorkClass::Online));
    CHECK_TRUE(isFull({8, 8, 0}, WorkClass::Online));
    CHECK_TRUE(isFull({1, 8, 1}, WorkClass::Online));
}

// Guards against batch requests that avoid an endpoint although its current reserve is small.
TEST(EndpointLoad, BatchLimitOfTheOwnerCounts)
{
    CHECK_FALSE(isFull({7, 8, 0, 0, 8}, WorkClass::Batch));
    CHECK_TRUE(isFull({7, 8, 0, 0, 7}, WorkClass::Batch));
}
