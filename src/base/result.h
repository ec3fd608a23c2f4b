#pragma once

#include "base/error.h"

#include <utility>
#include <variant>

namespace pistachiofall {

/// The outcome of a function that can fail: the value, or the error.
template<typename T>
using Result = std::variant<T, Error>;

/// The value of a successful function that has nothing to return.
struct Done
{ };

template<typename T>
bool isOk(const std::variant<T, Error> &result)
{
    return result.index() == 0;
}

/// The value of a successful result. Calling it on a failed one is a broken invariant.
template<typename T>
T &valueOf(std::variant<T, Error> &result)
{
    return std::get<0>(result);
}

template<typename T>
const T &valueOf(const std::variant<T, Error> &result)
{
    return std::get<0>(result);
}

template<typename T>
T valueOf(std::variant<T, Error> &&result)
{
    return std::get<0>(std::move(result));
}

/// The error of a failed result. Calling it on a successful one is a broken invariant.
template<typename T>
const Error &errorOf(const std::variant<T, Error> &result)
{
    return std::get<1>(result);
}

} // namespace pistachiofall
