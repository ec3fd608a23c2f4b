#include "slo/burnrate.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

namespace {

const SloKey acmeTour{"availability", "tour", "acme"};
const SloKey acmeGap{"token_gap", "tour", "acme"};
const SloKey boltTour{"availability", "tour", "bolt"};

const ObjectiveShares shares{0.99, 0.9, 0.9};

} // namespace

TEST_GROUP(BurnRate){};

// Guards against a burn rate computed since the start instead of within the window, and against a
// budget computed within the window instead of since the start.
TEST(BurnRate, sumsTheWindowOverInstances)
{
    const FleetSloCounts before{{"a", {{acmeTour, {1000, 0}}}}, {"b", {{acmeTour, {0, 0}}}}};
    const FleetSloCounts after{{"a", {{acmeTour, {1100, 3}}}}, {"b", {{acmeTour, {100, 1}}}}};
    const auto rates = computeBurnRates(before, after, shares);
    CHECK_EQUAL(1U, rates.size());
    CHECK(rates[0].window == (SloCount{200, 4}));
    CHECK(rates[0].total == (SloCount{1200, 4}));
    DOUBLES_EQUAL(2.0, rates[0].rate, 1e-9);
    DOUBLES_EQUAL(1 - (4.0 / 1200) / 0.01, rates[0].budgetLeft, 1e-9);
}

// Guards against an unsigned underflow after an instance restart, and against counting all earlier
// events of an instance that is missing in the first reading as events of the window.
TEST(BurnRate, handlesRestartedAndMissingInstances)
{
    const FleetSloCounts before{{"a", {{acmeTour, {1000, 50}}}}, {"gone", {{acmeTour, {9, 9}}}}};
    const FleetSloCounts after{{"a", {{acmeTour, {100, 1}}}}, {"new", {{acmeTour, {900, 900}}}}};
    const auto rates = computeBurnRates(before, after, shares);
    CHECK_EQUAL(1U, rates.size());
    CHECK(rates[0].window == (SloCount{100, 1}));
    DOUBLES_EQUAL(1.0, rates[0].rate, 1e-9);
}

// Guards against an order that does not show the worst organisation first, and against a division
// by zero without requests.
TEST(BurnRate, putsTheWorstOrganisationFirst)
{
    const FleetSloCounts before{{"a", {}}};
    const FleetSloCounts after{
            {"a", {{acmeTour, {0, 0}}, {acmeGap, {10, 1}}, {boltTour, {100, 10}}}}};
    const auto rates = computeBurnRates(before, after, shares);
    CHECK_EQUAL(3U, rates.size());
    CHECK(rates[0].key == boltTour);
    DOUBLES_EQUAL(10.0, rates[0].rate, 1e-9);
    CHECK(rates[1].key == acmeGap);
    DOUBLES_EQUAL(1.0, rates[1].rate, 1e-9);
    DOUBLES_EQUAL(0.0, rates[2].rate, 0);
    DOUBLES_EQUAL(1.0, rates[2].budgetLeft, 0);
}
