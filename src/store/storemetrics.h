#pragma once

#include "metrics/metricsregistry.h"
#include "store/callkind.h"

#include "base/error.h"

#include <array>
#include <chrono>
#include <optional>

namespace pistachiofall::store::detail {

/// store_calls_total{kind}, store_errors_total{kind,code} and store_call_seconds{kind}. A watch
/// that ends without a change is a call and not an error.
class StoreMetrics
{
public:
    explicit StoreMetrics(MetricsRegistry &registry);

    void recordStart(CallKind kind);
    void recordEnd(CallKind kind, std::chrono::nanoseconds duration,
                   std::optional<ErrorCode> error);

private:
    struct Kind
    {
        Counter *calls = nullptr;
        Histogram *seconds = nullptr;
    };

    MetricsRegistry &m_registry;
    std::array<Kind, CallKindCount> m_kinds;
};

} // namespace pistachiofall::store::detail
