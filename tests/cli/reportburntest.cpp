#include "cli/reportburn.h"
#include "cli/burntext.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(ReportBurn)
{
    std::string before = "/tmp/reportburn-before-" + std::to_string(getpid());
    std::string after = "/tmp/reportburn-after-" + std::to_string(getpid());

    void write(const std::string &file, int requests, int bad)
    {
        const std::string labels =
                R"({objective="availability",target="tour",organisation="acme"} )";
        std::ofstream(file) << "slo_requests_total" << labels << requests << "\nslo_bad_total"
                            << labels << bad << "\n";
    }
    void teardown() override
    {
        std::remove(before.c_str());
        std::remove(after.c_str());
    }
};

// Guards against an exit code that ignores --max-burn. 2 bad requests of 1000 with an objective of
// 0.999 give a burn rate of 2.
TEST(ReportBurn, exitCodeFollowsTheMaximum)
{
    write(before, 0, 0);
    write(after, 1000, 2);
    CHECK_EQUAL(1, runReportBurn({"report burn", "--before", before, "--after", after}));
    CHECK_EQUAL(1,
                runReportBurn({"report burn", "--before", before, "--after", after, "--max-burn",
                               "1.9"}));
    CHECK_EQUAL(0,
                runReportBurn({"report burn", "--before", before, "--after", after, "--max-burn",
                               "2.1"}));
}

// Guards against exit code 0 when there are no readings.
TEST(ReportBurn, refusesToReportOnNothing)
{
    CHECK_EQUAL(2, runReportBurn({"report burn"}));
    CHECK_EQUAL(2, runReportBurn({"report burn", "--before", before, "--after", after}));
    CHECK_EQUAL(2, runReportBurn({"report burn", "--before", before}));
    CHECK_EQUAL(2, runReportBurn({"report burn", "--window-ms", "0", "--store", "127.0.0.1:1"}));
}

// Guards against misaligned columns.
TEST(ReportBurn, tableHasOneLineEach)
{
    BurnRate rate;
    rate.key = {"availability", "tour", "acme"};
    rate.window = {1000, 2};
    rate.rate = 2;
    rate.budgetLeft = -1;
    STRCMP_EQUAL("ORGANISATION  TARGET  OBJECTIVE     REQUESTS  BAD  BURN  BUDGET LEFT\n"
                 "acme          tour    availability  1000      2    2.00  -100.0%\n",
                 formatBurnTable({rate}).c_str());
}
