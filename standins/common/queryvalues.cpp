#include "common/queryvalues.h"

#include <charconv>

namespace pistachiofall::standins {

Result<Done> checkNames(const std::map<std::string, std::string> &parameters,
                        const std::set<std::string> &accepted)
{
    for (const auto &[name, value] : parameters) {
        if (!accepted.contains(name))
            return Error{ErrorCode::InvalidArgument, "unknown parameter '" + name + "'"};
    }
    return Done{};
}

Result<std::uint64_t> parseNumber(const std::string &name, const std::string &value)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size())
        return Error{ErrorCode::InvalidArgument,
                     name + " is '" + value + "', not a whole number from 0"};
    return number;
}

} // namespace pistachiofall::standins
