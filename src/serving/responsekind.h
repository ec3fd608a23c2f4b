#pragma once

namespace pistachiofall {

/// What the head of an endpoint's answer says about the run of the request.
enum class ResponseKind {
    /// A success that the endpoint sealed.
    Success,
    /// A failure that the endpoint sealed, or answered itself.
    Failure,
    /// The endpoint did not run the request and never will.
    NotRun,
    /// Another process listens at the address; the request was not run.
    WrongEndpoint,
    /// It belongs to another request, or is no sealed answer. The request may have run.
    Unverified,
};

} // namespace pistachiofall
