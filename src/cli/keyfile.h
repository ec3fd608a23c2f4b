#pragma once

#include "base/result.h"

#include <string>

namespace pistachiofall {

/// Returns the key in the first line of a file. NotFound when the file cannot be read,
/// InvalidArgument when the line is empty. Errors name the file, never the key.
Result<std::string> readKeyFile(const std::string &file);

/// Returns the key given by a command-line argument: the argument itself, or for "@FILE" the key in
/// the file, which keeps the key out of the process list. Errors as for readKeyFile.
Result<std::string> resolveKeyArgument(const std::string &argument);

} // namespace pistachiofall
