#pragma once

#include "base/result.h"
#include "store/instancelist.h"

#include <chrono>
#include <string>
#include <vector>

namespace pistachiofall {

/// The body that the admin listener of an instance returned, or the error.
struct FetchedPage
{
    ListedInstance instance;
    Result<std::string> page;
};

/// Reads a page, such as "/metrics", from the admin listeners of all instances in parallel. A
/// status other than 200 is an error. Blocks for at most about the timeout.
std::vector<FetchedPage> fetchPages(const InstanceList &instances, const std::string &target,
                                    std::chrono::milliseconds timeout);

} // namespace pistachiofall
