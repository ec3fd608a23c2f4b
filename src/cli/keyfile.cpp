#include "cli/keyfile.h"

#include <fstream>

namespace pistachiofall {

Result<std::string> readKeyFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return Error{ErrorCode::NotFound, "key file '" + file + "' cannot be read"};
    std::string key;
    std::getline(in, key);
    while (!key.empty() && (key.back() == '\r' || key.back() == ' '))
        key.pop_back();
    if (key.empty())
        return Error{ErrorCode::InvalidArgument,
                     "key file '" + file + "' has no key in its first line"};
    return key;
}

Result<std::string> resolveKeyArgument(const std::string &argument)
{
    if (!argument.starts_with('@'))
        return argument;
    return readKeyFile(argument.substr(1));
}

} // namespace pistachiofall
