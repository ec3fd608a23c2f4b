#pragma once

#include <string>
#include <vector>

namespace pistachiofall {

/// Formats rows of cells as text, with columns padded to the widest cell and separated by two
/// spaces. An empty cell is shown as "-".
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace pistachiofall
