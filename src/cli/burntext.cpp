#include "cli/burntext.h"

#include "cli/texttable.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/json.hpp>

namespace pistachiofall {

namespace json = boost::json;

namespace {

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

} // namespace

std::string formatBurnTable(const std::vector<BurnRate> &rates)
{
    std::vector<std::vector<std::string>> rows{
            {"ORGANISATION", "TARGET", "OBJECTIVE", "REQUESTS", "BAD", "BURN", "BUDGET LEFT"}};
    for (const BurnRate &rate : rates) {
        rows.push_back({rate.key.organisation, rate.key.target, rate.key.objective,
                        std::to_string(rate.window.requests), std::to_string(rate.window.bad),
                        fixed(rate.rate, 2), fixed(rate.budgetLeft * 100, 1) + "%"});
    }
    return formatTable(rows);
}

std::string formatBurnJson(const std::vector<BurnRate> &rates)
{
    json::array lines;
    for (const BurnRate &rate : rates) {
        lines.push_back(json::object{{"organisation", rate.key.organisation},
                                     {"target", rate.key.target},
                                     {"objective", rate.key.objective},
                                     {"windowRequests", rate.window.requests},
                                     {"windowBad", rate.window.bad},
                                     {"totalRequests", rate.total.requests},
                                     {"totalBad", rate.total.bad},
                                     {"burnRate", rate.rate},
                                     {"budgetLeft", rate.budgetLeft}});
    }
    return json::serialize(lines) + "\n";
}

bool isAnyBurnRateAbove(const std::vector<BurnRate> &rates, double maxRate)
{
    return std::ranges::any_of(rates,
                               [maxRate](const BurnRate &rate) { return rate.rate > maxRate; });
}

} // namespace pistachiofall
