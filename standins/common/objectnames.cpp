#include "common/objectnames.h"

#include <algorithm>

namespace pistachiofall::standins {

namespace {

constexpr std::size_t MaxNameLength = 253;
constexpr std::size_t MaxLabelLength = 63;

bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isAlphanumeric(char character)
{
    return isLowerOrDigit(character) || (character >= 'A' && character <= 'Z');
}

// One part of an object name between dots.
bool isNamePart(std::string_view part)
{
    return !part.empty() && isLowerOrDigit(part.front()) && isLowerOrDigit(part.back())
            && std::ranges::all_of(part, [](char character) {
                   return isLowerOrDigit(character) || character == '-';
               });
}

} // namespace

bool isObjectName(std::string_view name)
{
    if (name.size() > MaxNameLength)
        return false;
    for (;;) {
        const auto dot = name.find('.');
        if (!isNamePart(name.substr(0, dot)))
            return false;
        if (dot == std::string_view::npos)
            return true;
        name.remove_prefix(dot + 1);
    }
}

bool isLabelValue(std::string_view value)
{
    if (value.empty())
        return true;
    return value.size() <= MaxLabelLength && isAlphanumeric(value.front())
            && isAlphanumeric(value.back()) && std::ranges::all_of(value, [](char character) {
                   return isAlphanumeric(character) || character == '-' || character == '_'
                           || character == '.';
               });
}

bool isLabelName(std::string_view name)
{
    const auto slash = name.find('/');
    if (slash != std::string_view::npos) {
        if (!isObjectName(name.substr(0, slash)))
            return false;
        name.remove_prefix(slash + 1);
    }
    return !name.empty() && isLabelValue(name);
}

} // namespace pistachiofall::standins
