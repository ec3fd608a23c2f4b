#include "metrics/histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <mutex>

#include <boost/histogram.hpp>

namespace pistachiofall {

namespace {

namespace bh = boost::histogram;

constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 1e3;
// Seven decades in buckets that grow by 10%: ln(1e7) / ln(1.1) = 169.1.
constexpr unsigned BinCount = 170;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

auto makeCounts()
{
    return bh::make_histogram(Axis(BinCount, MinSeconds, MaxSeconds, "seconds"));
}

} // namespace

struct Histogram::Data
{
    mutable std::mutex mutex;
    decltype(makeCounts()) counts = makeCounts();
    std::uint64_t total = 0;
    std::chrono::duration<double> sum{0};
};

Histogram::Histogram()
    : m_data(std::make_unique<Data>())
{ }

Histogram::~Histogram() = default;

void Histogram::record(std::chrono::nanoseconds value)
{
    const std::chrono::duration<double> seconds = value;
    const std::scoped_lock lock(m_data->mutex);
    m_data->counts(seconds.count());
    ++m_data->total;
    m_data->sum += seconds;
}

std::uint64_t Histogram::count() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->total;
}

std::chrono::duration<double> Histogram::sum() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->sum;
}

std::chrono::duration<double> Histogram::quantile(double quantile) const
{
    const std::uint64_t total = count();
    if (total == 0)
        return std::chrono::duration<double>{0};
    const auto rank = std::max<std::uint64_t>(
            1, static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(total))));
    std::uint64_t cumulative = 0;
    for (const Bucket &bucket : buckets()) {
        cumulative += bucket.count;
        if (cumulative >= rank)
            return bucket.upperBound;
    }
    return std::chrono::duration<double>{std::numeric_limits<double>::infinity()};
}

std::vector<Histogram::Bucket> Histogram::buckets() const
{
    const std::scoped_lock lock(m_data->mutex);
    std::vector<Bucket> result;
    result.reserve(BinCount + 2);
    const auto &axis = m_data->counts.axis();
    result.push_back({std::chrono::duration<double>{MinSeconds},
                      static_cast<std::uint64_t>(m_data->counts.at(-1))});
    for (int bin = 0; bin < axis.size(); ++bin) {
        result.push_back({std::chrono::duration<double>{axis.bin(bin).upper()},
                          static_cast<std::uint64_t>(m_data->counts.at(bin))});
    }
    result.push_back({std::chrono::duration<double>{std::numeric_limits<double>::infinity()},
                      static_cast<std::uint64_t>(m_data->counts.at(axis.size()))});
    return result;
}

} // namespace pistachiofall
