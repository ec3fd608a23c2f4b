#pragma once

#include "common/callcounts.h"
#include "common/changesignal.h"
#include "common/platformfaults.h"
#include "common/platforminstances.h"
#include "common/platformobjects.h"

#include <chrono>

namespace pistachiofall::standins {

/// Everything that the connections of the stand-in of the platform share.
struct PlatformState
{
    explicit PlatformState(std::chrono::milliseconds listLag)
        : instances(listLag)
    { }

    PlatformObjects objects;
    PlatformInstances instances;
    PlatformFaults faults;
    CallCounts calls;
    /// Notified after each change of an object or of the faults.
    ChangeSignal changed;
};

} // namespace pistachiofall::standins
