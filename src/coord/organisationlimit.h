#pragma once

#include "coord/ratelimit.h"

#include <string_view>

namespace pistachiofall {

/// The limit of one organisation, as an element of a list. The name must outlive the call that it
/// is passed to.
struct OrganisationLimit
{
    std::string_view organisation;
    RateLimit limit;
};

} // namespace pistachiofall
