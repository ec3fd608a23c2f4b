#include "metrics/metricsregistry.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(MetricsRegistry){};

// Guards against a metric that is recreated on each use, so that its value is always zero.
TEST(MetricsRegistry, SameNameAndLabelsIsSameMetric)
{
    MetricsRegistry registry;
    registry.counter("requests_total", {{"code", "200"}}).add();
    registry.counter("requests_total", {{"code", "200"}}).add(2);
    registry.counter("requests_total", {{"code", "500"}}).add();
    STRCMP_EQUAL("# TYPE requests_total counter\n"
                 "requests_total{code=\"200\"} 3\n"
                 "requests_total{code=\"500\"} 1\n",
                 registry.renderText().c_str());
}
