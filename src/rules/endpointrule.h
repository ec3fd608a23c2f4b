#pragma once

#include "base/socketaddress.h"
#include "rules/rulekind.h"

#include <cstdint>
#include <string>

namespace pistachiofall {

/// A model engine or a plain service. Either the model or the service is set.
struct EndpointRule
{
    static constexpr RuleKind Kind = RuleKind::Endpoint;

    std::string name;
    SocketAddress address;
    std::string failureDomain;
    /// Empty for a plain service.
    std::string model;
    /// Empty for a model engine.
    std::string service;
    /// Requests in flight when warm.
    std::uint32_t slots = 0;
    /// Requests in flight when cold, at most the slots.
    std::uint32_t coldSlots = 0;
    /// It gets no new work.
    bool leaving = false;
    /// Whether it rejects commands with an old fencing number.
    bool fencing = false;
    /// "by NAME: reason".
    std::string comment;

    bool operator==(const EndpointRule &) const = default;
};

} // namespace pistachiofall
