#include "metrics/histogram.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(Histogram){};

// Guards against buckets too wide for the documented quantile accuracy of 10%.
TEST(Histogram, QuantileIsWithinTenPercent)
{
    Histogram histogram;
    for (int value = 1; value <= 1000; ++value)
        histogram.record(milliseconds{value});
    DOUBLES_EQUAL(0.5, histogram.quantile(0.5).count(), 0.05);
    DOUBLES_EQUAL(0.99, histogram.quantile(0.99).count(), 0.099);
    CHECK_EQUAL(1000U, histogram.count());
    DOUBLES_EQUAL(500.5, histogram.sum().count(), 0.001);
}

// Guards against values outside the range that are not counted.
TEST(Histogram, CountsValuesOutsideTheRange)
{
    Histogram histogram;
    histogram.record(std::chrono::nanoseconds{1});
    histogram.record(std::chrono::hours{1});
    CHECK_EQUAL(2U, histogram.count());
    CHECK(histogram.quantile(0.5).count() <= 1e-4);
    CHECK(std::isinf(histogram.quantile(1).count()));
}

// Guards against an invalid quantile, such as from a division by zero, in reports on new instances.
TEST(Histogram, EmptyHasZeroQuantile)
{
    const Histogram histogram;
    DOUBLES_EQUAL(0, histogram.quantile(0.99).count(), 0);
}
