#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachiofall::tests {

/// The texts one after the other.
inline std::string joined(std::initializer_list<std::string_view> texts)
{
    std::string all;
    for (const std::string_view text : texts)
        all += text;
    return all;
}

} // namespace pistachiofall::tests
