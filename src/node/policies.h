#pragma once

#include "coord/queuepolicy.h"
#include "coord/selectionpolicy.h"
#include "node/limitclient.h"
#include "settings/policysettings.h"

namespace pistachiofall {

/// The policies that the section [policy] names.
SelectionPolicy selectionPolicy(SelectionKind kind);
QueuePolicy queuePolicy(const PolicySettings &settings);
LimitPolicy limitPolicy(LimitKind kind);

} // namespace pistachiofall
