#pragma once

#include <atomic>
#include <cstdint>

namespace pistachiofall {

/// A value that can go up and down, such as the number of open connections. Thread-safe.
class Gauge
{
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

} // namespace pistachiofall
