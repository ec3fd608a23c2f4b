#pragma once

#include "base/result.h"
#include "settings/fleetsettings.h"

#include <string>
#include <string_view>

namespace pistachiofall {

/// Reads and validates the settings file of a fleet instance. Returns NotFound when the file cannot
/// be read, and InvalidArgument with all errors, each with its line, when it is not valid. Errors
/// about a value show the value and what is accepted.
Result<FleetSettings> loadFleetSettings(const std::string &file);

/// Parses and validates the text of the settings file of a fleet instance. Returns InvalidArgument
/// with all errors, each with its line, when it is not valid. Errors about a value show the value
/// and what is accepted. The file name is only used in errors.
Result<FleetSettings> parseFleetSettings(std::string_view text, const std::string &file);

} // namespace pistachiofall
