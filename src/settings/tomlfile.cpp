#include "settings/tomlfile.h"

#include <fstream>
#include <iterator>

namespace pistachiofall::detail {

Result<std::string> readTextFile(const std::string &kind, const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in.is_open() || in.bad())
        return Error{ErrorCode::NotFound, kind + " '" + file + "' cannot be read"};
    return text;
}

} // namespace pistachiofall::detail
