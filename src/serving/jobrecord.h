#pragma once

#include "serving/jobresult.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

namespace pistachiofall {

/// A batch job without the bodies of its items, as the store holds it.
struct JobRecord
{
    std::string id;
    /// Of the object in the store; 0 before it is there.
    std::uint64_t revision = 0;

    // What does not change.
    std::string organisation;
    std::string host;
    /// The prefix of the route under which it was submitted.
    std::string pathPrefix;
    std::size_t itemCount = 0;
    /// How many objects hold the items.
    std::size_t partCount = 0;
    std::chrono::system_clock::time_point submitted;
    std::chrono::milliseconds dueAfter{0};
    std::chrono::milliseconds retention{0};

    // What its owner and its callers change.
    /// The instance, and the start of its process, that runs the items.
    std::string owner;
    bool hasEnded = false;
    /// The first results lie in objects of their own when one object can not hold all of them; this
    /// is how many each of these objects holds.
    std::vector<std::size_t> resultParts;
    /// The results in the order of their positions, which never change. JobStore::read() fills in
    /// those of the parts; a head from elsewhere may still lack the first missingResults.
    std::vector<JobResult> results;
    std::size_t missingResults = 0;
    /// How many of the results the store is known to hold.
    std::size_t storedResults = 0;

    std::size_t resultCount() const { return missingResults + results.size(); }
    /// How many results lie in parts.
    std::size_t resultsInParts() const
    {
        return std::accumulate(resultParts.begin(), resultParts.end(), std::size_t{0});
    }
    bool isOpen() const { return !hasEnded && resultCount() < itemCount; }
};

} // namespace pistachiofall
