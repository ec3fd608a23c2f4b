#include "http/httpheaders.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace {

char lowered(char character)
{
    const bool isUpper = character >= 'A' && character <= 'Z';
    return isUpper ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isTokenCharacter(char character)
{
    const char lower = lowered(character);
    if ((lower >= 'a' && lower <= 'z') || (lower >= '0' && lower <= '9'))
        return true;
    return std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isValueCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= 0x20 && byte != 0x7f);
}

} // namespace

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> fields)
    : m_fields(fields)
{ }

std::string_view HttpHeaders::get(std::string_view name) const
{
    for (const HttpHeader &field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

bool HttpHeaders::contains(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [name](const HttpHeader &field) {
        return equalsIgnoringCase(field.name, name);
    });
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields,
                  [name](const HttpHeader &field) { return equalsIgnoringCase(field.name, name); });
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lowered(a) == lowered(b); });
}

bool isSendable(const HttpHeader &header)
{
    return !header.name.empty()
            && std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)
            && std::all_of(header.value.begin(), header.value.end(), isValueCharacter);
}

} // namespace pistachiofall
