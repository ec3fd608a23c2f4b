#pragma once

#include "base/result.h"
#include "settings/fleetsettings.h"

#include <string>
#include <string_view>

namespace pistachiofall {

/// Reads and checks a settings file of a fleet instance. InvalidArgument lists all errors, each
/// with its line, the bad value and what is accepted.
Result<FleetSettings> loadFleetSettings(const std::string &file);

/// The same for a text; the file name stands in the errors.
Result<FleetSettings> parseFleetSettings(std::string_view text, const std::string &file);

} // namespace pistachiofall
