#include "rules/requestpath.h"

#include "rules/ruletext.h"

#include <algorithm>

namespace pistachiofall {

namespace {

std::optional<std::string> decodeEscapes(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += text[index];
            continue;
        }
        unsigned char byte = 0;
        if (index + 2 >= text.size() || !detail::parseHex(text.substr(index + 1, 2), {&byte, 1}))
            return std::nullopt;
        decoded += static_cast<char>(byte);
        index += 2;
    }
    return decoded;
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
}

/// Some servers cut a segment at ';' before they look for "..".
bool isDotSegment(std::string_view segment)
{
    const std::string_view name = segment.substr(0, segment.find(';'));
    return name == "." || name == "..";
}

} // namespace

std::optional<std::string> decodeRequestPath(std::string_view target)
{
    auto path = decodeEscapes(target.substr(0, target.find_first_of("?#")));
    if (!path || path->empty() || path->front() != '/'
        || std::any_of(path->begin(), path->end(), isControl)
        || path->find('\\') != std::string::npos)
        return std::nullopt;
    std::size_t start = 1;
    while (start < path->size()) {
        const std::size_t end = std::min(path->find('/', start), path->size());
        const std::string_view segment = std::string_view(*path).substr(start, end - start);
        if (segment.empty() || isDotSegment(segment))
            return std::nullopt;
        start = end + 1;
    }
    return path;
}

} // namespace pistachiofall
