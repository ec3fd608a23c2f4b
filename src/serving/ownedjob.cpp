#include "serving/ownedjob.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace pistachiofall {

void ItemProgress::discardOutput()
{
    output = std::string();
    hasOutput = false;
    lastEventId.reset();
    outputShare.resize(0);
}

std::map<std::string, ItemFailures>
OwnedJob::unfinishedFailures(const std::vector<JobResult> &results) const
{
    std::map<std::string, ItemFailures> failures;
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (progress[index].failures.hasAny())
            failures[items[index].id] = progress[index].failures;
    }
    for (const JobResult &result : results)
        failures.erase(result.itemId);
    return failures;
}

bool OwnedJob::areFailuresStored(std::size_t index) const
{
    const ItemFailures &failures = progress[index].failures;
    if (!failures.hasAny())
        return true;
    const auto stored = record.failures.find(items[index].id);
    return stored != record.failures.end() && stored->second == failures;
}

bool OwnedJob::hasUnstoredFailures() const
{
    for (std::size_t index = 0; index < items.size(); ++index) {
        if (areFailuresStored(index))
            continue;
        const std::string &id = items[index].id;
        const auto isOfItem = [&id](const JobResult &result) { return result.itemId == id; };
        if (std::none_of(record.results.begin(), record.results.end(), isOfItem))
            return true;
    }
    return false;
}

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
