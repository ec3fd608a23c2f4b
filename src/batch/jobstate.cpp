#include "batch/jobstate.h"

namespace pistachiofall {

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Open:
        return "open";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Done:
        return "done";
    case JobState::Expired:
        return "expired";
    }
    return "open";
}

} // namespace pistachiofall
