#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace pistachiofall::standins {

/// Fails when there is a parameter with another name, which is otherwise a misspelt fault that a
/// test believes to be in force.
Result<Done> checkNames(const std::map<std::string, std::string> &parameters,
                        const std::set<std::string> &accepted);

/// Parses a number from a query parameter; the error names the parameter.
Result<std::uint64_t> parseNumber(const std::string &name, const std::string &value);

} // namespace pistachiofall::standins
