#include "settings/tomlfile.h"

#include <fstream>
#include <iterator>
#include <sstream>

namespace pistachiofall::detail {

Result<std::string> readTextFile(const std::string &kind, const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in.is_open() || in.bad())
        return Error{ErrorCode::NotFound, kind + " '" + file + "' cannot be read"};
    return text;
}

std::string describeSyntaxError(std::string_view text, std::size_t line,
                                std::string_view description)
{
    std::istringstream lines{std::string(text)};
    std::string found;
    for (std::size_t number = 0; number < line; ++number)
        std::getline(lines, found);
    const std::string blanks = " \t\r";
    const auto end = found.find_last_not_of(blanks);
    const auto begin = found.find_first_not_of(blanks);
    if (end == std::string::npos || found[end] != '=')
        return std::string(description);
    const std::string key = found.substr(begin, found.find_last_not_of(blanks + '=') + 1 - begin);
    return "'" + key + "' has no value";
}

} // namespace pistachiofall::detail
