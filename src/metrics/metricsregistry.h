#pragma once

#include "metrics/counter.h"
#include "metrics/gauge.h"
#include "metrics/histogram.h"
#include "metrics/labels.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiofall {

/// Owns all metrics of a process. Each metric is created on first use and lives as long as the
/// registry, so callers may keep references. Thread-safe.
class MetricsRegistry
{
public:
    Counter &counter(std::string_view name, const Labels &labels = {});
    Gauge &gauge(std::string_view name, const Labels &labels = {});
    Histogram &histogram(std::string_view name, const Labels &labels = {});

    /// Returns all metrics in the text exposition format of scrapers. Empty buckets of histograms
    /// are omitted, except the last one ("+Inf").
    std::string renderText() const;

private:
    // Metrics of one type by name, then by formatted labels.
    template<typename Metric>
    using Family = std::map<std::string, std::map<std::string, std::unique_ptr<Metric>>>;

    template<typename Metric>
    Metric &findOrCreate(Family<Metric> &families, std::string_view name, const Labels &labels);

    mutable std::mutex m_mutex;
    Family<Counter> m_counters;
    Family<Gauge> m_gauges;
    Family<Histogram> m_histograms;
};

} // namespace pistachiofall
