#include "http/endpointheaders.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pistachiofall {

namespace {

constexpr std::array<std::string_view, 4> AllowedHeaders{"Content-Type", "Accept", "traceparent",
                                                         "X-Request-Id"};

constexpr std::array<std::string_view, 14> KeyParameters{
        "key",        "api_key",    "api-key",       "apikey",       "x-api-key",
        "access_key", "access-key", "access_token",  "access-token", "token",
        "auth_token", "auth",       "authorization", "secret"};

constexpr std::string_view KeyPrefix = "pf_";
// Real secrets have 256 bits; shorter words after the prefix are names that happen to look alike.
constexpr std::size_t MinSecretLength = 8;

template<std::size_t Size>
bool hasName(const std::array<std::string_view, Size> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view candidate) {
        return equalsIgnoringCase(candidate, name);
    });
}

bool isKeyCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-';
}

// The length of the run of key characters at the start of the text.
std::size_t runLength(std::string_view text)
{
    const auto end = std::find_if_not(text.begin(), text.end(), isKeyCharacter);
    return static_cast<std::size_t>(end - text.begin());
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned char byte = 0;
        const char *digits = text.data() + index + 1;
        if (text[index] == '%' && text.size() - index > 2
            && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
            decoded += static_cast<char>(byte);
            index += 2;
        } else {
            decoded += text[index] == '+' ? ' ' : text[index];
        }
    }
    return decoded;
}

bool carriesKey(std::string_view parameter)
{
    const auto equals = parameter.find('=');
    const std::string name = percentDecoded(parameter.substr(0, equals));
    return hasName(KeyParameters, name) || containsKey(percentDecoded(parameter));
}

} // namespace

HttpHeaders endpointHeaders(const HttpHeaders &headers)
{
    HttpHeaders allowed;
    for (const HttpHeader &field : headers) {
        if (hasName(AllowedHeaders, field.name) && isSendable(field) && !containsKey(field.value))
            allowed.add(field.name, field.value);
    }
    return allowed;
}

std::string endpointTarget(std::string_view path, std::string_view query)
{
    std::string target(path);
    char separator = '?';
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        if (parameter.empty() || carriesKey(parameter))
            continue;
        target += separator;
        target += parameter;
        separator = '&';
    }
    return target;
}

bool containsKey(std::string_view text)
{
    for (;;) {
        const auto begin = text.find(KeyPrefix);
        if (begin == std::string_view::npos)
            return false;
        text.remove_prefix(begin + KeyPrefix.size());
        const std::size_t idLength = runLength(text);
        if (idLength > 0 && idLength < text.size() && text[idLength] == '_'
            && runLength(text.substr(idLength + 1)) >= MinSecretLength)
            return true;
    }
}

} // namespace pistachiofall
