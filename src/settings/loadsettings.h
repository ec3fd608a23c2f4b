#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <string>
#include <string_view>

namespace pistachiofall {

/// Reads and validates a settings file in TOML. Returns NotFound when the file cannot be read, and
/// InvalidArgument with a line "FILE:LINE: ..." for each unknown key, missing key, value of a wrong
/// type and value out of range.
Result<Settings> loadSettings(const std::string &file);

/// Parses and validates the text of a settings file in TOML. Returns InvalidArgument with a line
/// "FILE:LINE: ..." for each unknown key, missing key, value of a wrong type and value out of
/// range. The file name is only used in errors.
Result<Settings> parseSettings(std::string_view text, const std::string &file);

} // namespace pistachiofall
