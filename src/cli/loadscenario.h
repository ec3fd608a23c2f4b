#pragma once

#include "base/result.h"
#include "cli/loadrun.h"

#include <string>
#include <string_view>

namespace pistachiofall {

/// Reads the options of a load run from a TOML file with a section [run] and any number of [[flow]]
/// and [[batch]] tables. The error has a line "FILE:LINE: ..." for each unknown key, wrong type,
/// value out of range and missing key. NotFound when the file cannot be read.
Result<LoadOptions> loadScenario(const std::string &file);

/// As loadScenario, for the text of the file. The file name is used in errors only.
Result<LoadOptions> parseScenario(std::string_view text, const std::string &file);

} // namespace pistachiofall
