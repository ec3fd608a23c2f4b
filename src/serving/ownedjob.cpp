#include "serving/ownedjob.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace pistachiofall {

bool OwnedJob::applyStored(JobRecord stored, SteadyTime sent)
{
    if (stored.revision < record.revision)
        return false;
    if (stored.revision > record.revision)
        readLease.recordChange();
    record = std::move(stored);
    confirmed = std::max(confirmed, sent);
    std::set<std::string_view> written;
    for (const JobResult &result : record.results)
        written.insert(result.itemId);
    std::erase_if(unwritten,
                  [&written](const JobResult &result) { return written.contains(result.itemId); });
    return true;
}

} // namespace pistachiofall
