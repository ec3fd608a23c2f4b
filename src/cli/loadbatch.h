#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace pistachiofall {

/// A batch job that a load run submits to an instance.
struct LoadBatch
{
    /// Used in the report only; the key determines the organisation.
    std::string organisation;
    std::string key;
    std::string model;
    std::size_t items = 1;
    /// The time from the submission until the job is due.
    std::chrono::seconds dueIn{3600};
    /// The time from the start of the run until the job is submitted.
    std::chrono::milliseconds begin{0};
    std::size_t promptBytes = 0;
    int maxTokens = 32;
};

} // namespace pistachiofall
