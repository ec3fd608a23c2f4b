#include "http/responsehead.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string_view>

#include <boost/beast/http/status.hpp>

namespace pistachiofall::detail {

namespace {

// Valid for one connection only (RFC 9110, section 7.6.1), or set by formatResponseHead().
constexpr std::array<std::string_view, 9> OwnFields{"Connection",       "Content-Length",
                                                    "Keep-Alive",       "Proxy-Authenticate",
                                                    "Proxy-Connection", "TE",
                                                    "Trailer",          "Transfer-Encoding",
                                                    "Upgrade"};

bool isOwnField(const HttpHeader &field)
{
    return std::any_of(OwnFields.begin(), OwnFields.end(), [&field](std::string_view name) {
        return equalsIgnoringCase(name, field.name);
    });
}

} // namespace

std::string formatResponseHead(const ResponseHead &head)
{
    namespace http = boost::beast::http;
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    text.append(reason.data(), reason.size());
    text += "\r\n";
    for (const HttpHeader &field : head.headers) {
        if (isOwnField(field) || !isSendable(field))
            continue;
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    if (head.framing == BodyFraming::Length)
        text += "Content-Length: " + std::to_string(head.length) + "\r\n";
    if (head.framing == BodyFraming::Chunked)
        text += "Transfer-Encoding: chunked\r\n";
    if (!head.keepsAlive)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

} // namespace pistachiofall::detail
