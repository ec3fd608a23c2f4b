#include "batch/batchmetrics.h"

#include <array>

namespace pistachiofall::batch::detail {

namespace {

const char *nameOf(const ItemOutcome &outcome)
{
    // Same order as the alternatives of ItemOutcome.
    constexpr std::array<const char *, std::variant_size_v<ItemOutcome>> Names{
            "answer", "retryable", "failed", "revoked", "not_run", "unknown"};
    return Names.at(outcome.index());
}

const char *nameOf(SegmentRun::End end)
{
    switch (end) {
    case SegmentRun::End::Finished:
        return "finished";
    case SegmentRun::End::Released:
        return "released";
    case SegmentRun::End::Lost:
        return "lost";
    case SegmentRun::End::Absent:
        return "absent";
    }
    return "lost";
}

} // namespace

BatchMetrics::BatchMetrics(MetricsRegistry &registry)
    : inFlight(registry.gauge("batch_items_in_flight"))
    , segments(registry.gauge("batch_segments_claimed"))
    , jobsEnded(registry.counter("batch_jobs_ended_total"))
    , unreadable(registry.counter("batch_unreadable_total"))
    , m_registry(registry)
{ }

void BatchMetrics::countOutcome(const ItemOutcome &outcome)
{
    m_registry.counter("batch_item_tries_total", {{"outcome", nameOf(outcome)}}).add();
}

void BatchMetrics::countSegmentEnd(SegmentRun::End end)
{
    m_registry.counter("batch_segments_ended_total", {{"end", nameOf(end)}}).add();
}

} // namespace pistachiofall::batch::detail
