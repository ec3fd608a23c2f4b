#pragma once

namespace pistachiofall {

/// Classification of an endpoint's response, decided from its status and headers.
enum class ResponseKind {
    /// A 2xx response that carries the endpoint's seal and the id of the request.
    Success,
    /// An error response of the endpoint to this request.
    Failure,
    /// The endpoint did not run the request and never will.
    NotRun,
    /// Another process listens at the address; the request was not run.
    WrongEndpoint,
    /// The response carries another request's id, or lacks the id or the seal. The request may have
    /// run.
    Unverified,
};

} // namespace pistachiofall
