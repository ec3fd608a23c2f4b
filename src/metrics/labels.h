#pragma once

#include <string>
#include <utility>
#include <vector>

namespace pistachiofall {

/// The labels of a metric as pairs of name and value. Each label must have few distinct values, and
/// values must never be API keys.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Formats labels as {name="value",...}. Escapes quotes and backslashes in values and replaces line
/// breaks by spaces. Returns an empty string if there are no labels.
std::string formatLabels(const Labels &labels);

} // namespace pistachiofall
