#pragma once

#include <string>

namespace pistachiofall {

/// Returns the author of changes without --author: the name of the user who runs the command, or
/// "uid N" when there is no name that can be used as an author.
std::string operatorName();

} // namespace pistachiofall
