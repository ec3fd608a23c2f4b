#pragma once

#include <string_view>

namespace pistachiofall::standins {

/// Whether the object API accepts the name of an object: at most 253 lower-case letters, digits,
/// '-' and '.', with a letter or digit at both ends and around each '.'.
bool isObjectName(std::string_view name);

/// Whether the object API accepts a label's value: empty, or at most 63 letters, digits, '-', '_'
/// and '.', with a letter or digit at both ends.
bool isLabelValue(std::string_view value);

/// Whether the object API accepts a label's name: as a value that is not empty, with an optional
/// prefix that is an object name and a '/'.
bool isLabelName(std::string_view name);

} // namespace pistachiofall::standins
