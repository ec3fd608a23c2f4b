#include "cli/texttable.h"

#include <algorithm>
#include <cstddef>

namespace pistachiofall {

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 1);
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const std::string cell = row[column].empty() ? "-" : row[column];
            text += cell;
            if (column + 1 < row.size())
                text.append(widths[column] - cell.size() + 2, ' ');
        }
        text += '\n';
    }
    return text;
}

} // namespace pistachiofall
