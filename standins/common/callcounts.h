#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace pistachiofall::standins {

/// Counts of calls by kind. Safe to use from several threads.
class CallCounts
{
public:
    void add(const std::string &kind);

    /// A JSON object with the count of each kind and their sum as "total".
    std::string toJson() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace pistachiofall::standins
