#include "metrics/metricsregistry.h"

#include <cmath>
#include <sstream>

namespace pistachiofall {

namespace {

// Adds the label "le", the upper bound of a histogram bucket, to formatted labels.
std::string withBucketBound(const std::string &labels, const std::string &bound)
{
    const std::string label = "le=\"" + bound + "\"";
    if (labels.empty())
        return "{" + label + "}";
    return labels.substr(0, labels.size() - 1) + "," + label + "}";
}

void renderHistogram(std::ostream &out, const std::string &name, const std::string &labels,
                     const Histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (const Histogram::Bucket &bucket : histogram.buckets()) {
        cumulative += bucket.count;
        if (std::isinf(bucket.upperBound.count()) || bucket.count == 0)
            continue;
        std::ostringstream bound;
        bound << bucket.upperBound.count();
        out << name << "_bucket" << withBucketBound(labels, bound.str()) << ' ' << cumulative
            << '\n';
    }
    out << name << "_bucket" << withBucketBound(labels, "+Inf") << ' ' << cumulative << '\n';
    out << name << "_sum" << labels << ' ' << histogram.sum().count() << '\n';
    out << name << "_count" << labels << ' ' << cumulative << '\n';
}

} // namespace

template<typename Metric>
Metric &MetricsRegistry::findOrCreate(Family<Metric> &families, std::string_view name,
                                      const Labels &labels)
{
    const std::scoped_lock lock(m_mutex);
    auto &metric = families[std::string(name)][formatLabels(labels)];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter &MetricsRegistry::counter(std::string_view name, const Labels &labels)
{
    return findOrCreate(m_counters, name, labels);
}

Gauge &MetricsRegistry::gauge(std::string_view name, const Labels &labels)
{
    return findOrCreate(m_gauges, name, labels);
}

Histogram &MetricsRegistry::histogram(std::string_view name, const Labels &labels)
{
    return findOrCreate(m_histograms, name, labels);
}

std::string MetricsRegistry::renderText() const
{
    const std::scoped_lock lock(m_mutex);
    std::ostringstream out;
    for (const auto &[name, metrics] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, counter] : metrics)
            out << name << labels << ' ' << counter->value() << '\n';
    }
    for (const auto &[name, metrics] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, gauge] : metrics)
            out << name << labels << ' ' << gauge->value() << '\n';
    }
    for (const auto &[name, metrics] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, histogram] : metrics)
            renderHistogram(out, name, labels, *histogram);
    }
    return out.str();
}

} // namespace pistachiofall
