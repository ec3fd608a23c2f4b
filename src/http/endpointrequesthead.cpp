#include "http/endpointrequesthead.h"

#include "http/endpointheaders.h"
#include "http/requesthead.h"

#include <algorithm>

namespace pistachiofall::detail {

namespace {

bool isTargetCharacter(char character)
{
    return character > ' ' && character < 0x7f;
}

void appendFields(std::string &head, const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers) {
        if (isSendable(field))
            head += field.name + ": " + field.value + "\r\n";
    }
}

} // namespace

Result<std::string> formatRequestHead(const EndpointRequest &request, const SocketAddress &address,
                                      bool keepsAlive)
{
    const auto target = splitTarget(request.target);
    if (!isSendable({request.method, {}}))
        return Error{ErrorCode::InvalidArgument, "method '" + request.method + "' is no token"};
    if (!target || !std::all_of(request.target.begin(), request.target.end(), isTargetCharacter))
        return Error{ErrorCode::InvalidArgument,
                     "a target must begin with '/' and have no spaces or control characters"};
    std::string head = request.method + ' ';
    if (request.form == RequestForm::Verbatim) {
        head += request.target + " HTTP/1.1\r\n";
        appendFields(head, request.headers);
    } else {
        head += endpointTarget(target->path, target->query)
                + " HTTP/1.1\r\nHost: " + address.toString() + "\r\n";
        appendFields(head, endpointHeaders(request.headers));
    }
    if (!request.body.empty() || request.method != "GET")
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    if (!keepsAlive)
        head += "Connection: close\r\n";
    return head + "\r\n";
}

} // namespace pistachiofall::detail
