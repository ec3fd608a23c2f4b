#pragma once

#include "coord/workclass.h"

#include <cstdint>
#include <optional>

namespace pistachiofall {

/// The properties of a request that the choice of an endpoint depends on.
struct SelectionRequest
{
    WorkClass workClass = WorkClass::Online;
    /// A stable hash of the leading part of the prompt; empty for requests without a prompt.
    std::optional<std::uint64_t> prefix;
};

} // namespace pistachiofall
