#include "slo/objective.h"

namespace pistachiofall {

std::string_view toString(Objective objective)
{
    switch (objective) {
    case Objective::Availability:
        return "availability";
    case Objective::FirstToken:
        return "first_token";
    case Objective::TokenGap:
        return "token_gap";
    }
    return "unknown";
}

} // namespace pistachiofall
