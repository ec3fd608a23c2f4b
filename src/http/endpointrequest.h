#pragma once

#include "http/httpheaders.h"

#include <string>

namespace pistachiofall {

/// Which parts of a request are sent.
enum class RequestForm {
    /// Only the fields on the allow list of endpointHeaders(), and no query parameter that may hold
    /// a key. The Host field is the endpoint's address.
    Filtered,
    /// The target and the fields as they are, the Host field included. Whoever builds the request
    /// has left out what concerns only one connection.
    Verbatim,
};

/// A request to an endpoint. It is not changed by a call, so that several calls may share it.
struct EndpointRequest
{
    std::string method = "POST";
    /// Path and query, encoded.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    RequestForm form = RequestForm::Filtered;
};

} // namespace pistachiofall
