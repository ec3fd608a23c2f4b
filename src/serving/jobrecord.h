#pragma once

#include "serving/jobresult.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace pistachiofall {

/// What is known of the failed runs of an item without a result.
struct ItemFailures
{
    /// The number of runs that ended with a server error of the endpoint.
    int count = 0;
    /// An endpoint has said that the item can never be done.
    bool isUnprocessable = false;

    bool hasAny() const { return count > 0 || isUnprocessable; }
    bool operator==(const ItemFailures &other) const = default;
};

/// The stored state of a batch job: everything except its items.
struct JobRecord
{
    std::string id;
    /// The revision of the job's object in the store; 0 before it is created.
    std::uint64_t revision = 0;

    // Immutable after creation.
    std::string organisation;
    std::string host;
    /// The path prefix of the route through which the job was submitted.
    std::string pathPrefix;
    std::size_t itemCount = 0;
    /// The number of store objects that hold the items.
    std::size_t partCount = 0;
    std::chrono::system_clock::time_point submitted;
    std::chrono::milliseconds dueAfter{0};
    std::chrono::milliseconds retention{0};

    // Changed by the owner and by calls of callers.
    /// The instance that runs the items, as "name/incarnation".
    std::string owner;
    bool hasEnded = false;
    /// When one object cannot hold all results, the first ones are stored in separate objects, the
    /// parts. This is the number of results in each part.
    std::vector<std::size_t> resultParts;
    /// The results in the order of their positions, which never change. JobStore::read() includes
    /// those stored in parts; a record from another source may lack the first missingResults.
    std::vector<JobResult> results;
    std::size_t missingResults = 0;
    /// The number of results that the store is known to hold.
    std::size_t storedResults = 0;
    /// The failures of items without a result, by item. They outlive the owner, so that the next
    /// one sends no item that is known to fail more often than it may be sent.
    std::map<std::string, ItemFailures> failures;

    std::size_t resultCount() const { return missingResults + results.size(); }
    /// The number of results stored in parts.
    std::size_t resultsInParts() const
    {
        return std::accumulate(resultParts.begin(), resultParts.end(), std::size_t{0});
    }
    bool isOpen() const { return !hasEnded && resultCount() < itemCount; }
};

} // namespace pistachiofall
