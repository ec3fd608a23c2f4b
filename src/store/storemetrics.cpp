#include "store/storemetrics.h"

namespace pistachiofall::store::detail {

namespace {

Labels kindLabel(CallKind kind)
{
    return {{"kind", std::string(toString(kind))}};
}

} // namespace

StoreMetrics::StoreMetrics(MetricsRegistry &registry)
    : m_registry(registry)
{
    for (int index = 0; index < CallKindCount; ++index) {
        const Labels labels = kindLabel(static_cast<CallKind>(index));
        Kind &metrics = m_kinds.at(static_cast<std::size_t>(index));
        metrics.calls = &registry.counter("store_calls_total", labels);
        metrics.seconds = &registry.histogram("store_call_seconds", labels);
    }
}

void StoreMetrics::recordStart(CallKind kind)
{
    m_kinds.at(static_cast<std::size_t>(kind)).calls->add();
}

void StoreMetrics::recordEnd(CallKind kind, std::chrono::nanoseconds duration,
                             std::optional<ErrorCode> error)
{
    m_kinds.at(static_cast<std::size_t>(kind)).seconds->record(duration);
    if (!error || (kind == CallKind::Watch && *error == ErrorCode::TimedOut))
        return;
    Labels labels = kindLabel(kind);
    labels.emplace_back("code", std::string(pistachiofall::toString(*error)));
    m_registry.counter("store_errors_total", labels).add();
}

} // namespace pistachiofall::store::detail
