#pragma once

#include "slo/burnrate.h"

#include <string>
#include <vector>

namespace pistachiofall {

/// Formats the burn rates as a table, with one line per objective, target and organisation.
std::string formatBurnTable(const std::vector<BurnRate> &rates);

/// Formats the burn rates as a JSON array with one object per rate.
std::string formatBurnJson(const std::vector<BurnRate> &rates);

/// Returns whether any burn rate exceeds the maximum.
bool isAnyBurnRateAbove(const std::vector<BurnRate> &rates, double maxRate);

} // namespace pistachiofall
