#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace pistachiofall {

/// A histogram of durations from 100 us to 1,000 s. Each bucket is 10% wider than the one before,
/// so quantiles are accurate to within 10%. Thread-safe.
class Histogram
{
public:
    /// The number of values up to the upper bound of the bucket and above that of the previous one.
    struct Bucket
    {
        std::chrono::duration<double> upperBound;
        std::uint64_t count = 0;
    };

    Histogram();
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    void record(std::chrono::nanoseconds value);

    std::uint64_t count() const;
    std::chrono::duration<double> sum() const;

    /// Returns the upper bound of the bucket that contains the quantile, with 0 < quantile <= 1;
    /// zero if the histogram is empty.
    std::chrono::duration<double> quantile(double quantile) const;

    /// Returns all buckets in ascending order. The last one has an infinite bound and holds the
    /// overflow.
    std::vector<Bucket> buckets() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace pistachiofall
