#pragma once

#include "common/labelselector.h"
#include "common/platformobject.h"

#include <string>

namespace pistachiofall::standins {

/// Which objects a list or a watch is about.
struct ObjectSelection
{
    bool contains(const PlatformObject &object) const
    {
        return object.nameSpace == nameSpace && (name.empty() || object.name == name)
                && labels.matches(object.labels);
    }

    std::string nameSpace;
    /// From fieldSelector=metadata.name=NAME; empty: any name.
    std::string name;
    LabelSelector labels;
};

} // namespace pistachiofall::standins
