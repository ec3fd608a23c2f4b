#include "serving/slotoutcome.h"

namespace pistachiofall {

std::string_view toString(SlotRefusalReason reason)
{
    switch (reason) {
    case SlotRefusalReason::NoEndpoint:
        return "no_endpoint";
    case SlotRefusalReason::Overloaded:
        return "overloaded";
    case SlotRefusalReason::DeadlinePassed:
        return "deadline_passed";
    case SlotRefusalReason::CallerGone:
        return "caller_gone";
    case SlotRefusalReason::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace pistachiofall
