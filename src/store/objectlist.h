#pragma once

#include "store/storedobject.h"

#include <string>
#include <vector>

namespace pistachiofall {

/// The objects that matched a label selector, and the version of the whole list.
struct ObjectList
{
    std::string version;
    std::vector<StoredObject> objects;
};

} // namespace pistachiofall
