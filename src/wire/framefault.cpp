#include "wire/framefault.h"

namespace pistachiofall {

std::string_view toString(FrameFault fault)
{
    switch (fault) {
    case FrameFault::Oversized:
        return "oversized";
    case FrameFault::Malformed:
        return "malformed";
    case FrameFault::WrongVersion:
        return "wrong_version";
    }
    return "malformed";
}

} // namespace pistachiofall
