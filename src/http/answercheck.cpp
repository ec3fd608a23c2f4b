#include "http/answercheck.h"

#include <algorithm>
#include <string>

namespace pistachiofall::detail {

namespace {

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;
constexpr std::string_view LineEnd = "\r\n";

// Up to the empty line, or all of the text as long as that line has not come.
std::string_view headOf(std::string_view text)
{
    if (text.starts_with(LineEnd))
        return {};
    return text.substr(0, text.find("\r\n\r\n"));
}

} // namespace

bool hasContinuedLine(std::string_view text)
{
    const std::string_view head = headOf(text);
    return head.find("\r\n ") != std::string_view::npos
            || head.find("\r\n\t") != std::string_view::npos;
}

Result<Done> checkStatus(unsigned status)
{
    if (status < MinStatus || status > MaxStatus)
        return Error{ErrorCode::ProtocolError,
                     "the answer has status " + std::to_string(status)
                             + ", which is not between 100 and 599"};
    return Done{};
}

Result<Done> checkCodings(const HttpHeaders &headers, bool isHttp11)
{
    const auto isTransferCoding = [](const HttpHeader &field) {
        return equalsIgnoringCase(field.name, "Transfer-Encoding");
    };
    const auto codings = std::count_if(headers.begin(), headers.end(), isTransferCoding);
    const bool isChunked = equalsIgnoringCase(headers.get("Transfer-Encoding"), "chunked");
    if (codings > 0 && (codings > 1 || !isChunked || !isHttp11))
        return Error{ErrorCode::ProtocolError,
                     "the answer has a transfer coding other than chunks"};
    if (headers.contains("Content-Encoding"))
        return Error{ErrorCode::ProtocolError, "the answer is in a content coding"};
    return Done{};
}

} // namespace pistachiofall::detail
