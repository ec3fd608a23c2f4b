#pragma once

#include "metrics/metricsregistry.h"

namespace pistachiofall {

/// Writes what this process has used into gauges: processor time in milliseconds and resident
/// memory in bytes. The control cost of an instance is read from them.
void recordProcessCost(MetricsRegistry &metrics);

} // namespace pistachiofall
