#pragma once

#include "serving/jobresult.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pistachiofall {

/// A batch job without the bodies of its items, as the store holds it.
struct JobHead
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
    /// In the order of their positions, which never change.
    std::vector<JobResult> results;

    bool isOpen() const { return !hasEnded && results.size() < itemCount; }
};

} // namespace pistachiofall
