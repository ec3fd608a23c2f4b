#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// One header field of a request or an answer.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// The header fields of a request or an answer in their order. Names compare without case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    /// The value of the first field of the name; empty when there is none.
    std::string_view get(std::string_view name) const;
    bool contains(std::string_view name) const;

    /// Appends a field, also when there is one of the name already.
    void add(std::string name, std::string value);
    /// Replaces all fields of the name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);

    std::size_t size() const { return m_fields.size(); }
    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

private:
    std::vector<HttpHeader> m_fields;
};

/// Whether two header names, or other ASCII words, are the same but for case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether a field can be sent as it is: the name is a token and the value has no control
/// characters. Anything else could start a field or a body of its own.
bool isSendable(const HttpHeader &header);

} // namespace pistachiofall
