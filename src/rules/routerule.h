#pragma once

#include "rules/rulekind.h"

#include <cstdint>
#include <string>

namespace pistachiofall {

/// Who may send requests on a route.
enum class RouteAccess : std::uint8_t {
    /// Requests with a valid key.
    Keyed,
    /// Everybody.
    Open,
};

/// A path prefix that leads to a plain service.
struct RouteRule
{
    static constexpr RuleKind Kind = RuleKind::Route;

    /// The path prefix. It ends at a segment: "/print" matches "/print/1" but not "/printer".
    std::string name;
    std::string service;
    RouteAccess access = RouteAccess::Keyed;
    /// Whether a request may be sent twice.
    bool idempotent = false;
    /// "by NAME: reason".
    std::string comment;

    bool operator==(const RouteRule &) const = default;
};

} // namespace pistachiofall
