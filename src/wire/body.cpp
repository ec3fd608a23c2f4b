#include "wire/body.h"

namespace pistachiofall {

std::string messageName(wire::Body type)
{
    const std::string name = wire::EnumNameBody(type);
    return name.empty() ? "unknown" : name;
}

} // namespace pistachiofall
