#include "common/callcounts.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

void CallCounts::add(const std::string &kind)
{
    const std::scoped_lock lock(m_mutex);
    ++m_counts[kind];
}

std::string CallCounts::toJson() const
{
    const std::scoped_lock lock(m_mutex);
    boost::json::object counts;
    std::uint64_t total = 0;
    for (const auto &[kind, count] : m_counts) {
        counts[kind] = count;
        total += count;
    }
    counts["total"] = total;
    return boost::json::serialize(counts);
}

} // namespace pistachiofall::standins
