#include "coord/endpointselector.h"

#include "base/overloaded.h"
#include "base/stablehash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pistachiofall {

namespace {

// Returns the two candidates that rank first for the prefix, in order of rank. With a single
// candidate both are the same.
std::array<const std::string *, 2> topTwo(const std::vector<std::string> &candidates,
                                          std::uint64_t prefix)
{
    const std::string key = std::to_string(prefix);
    std::vector<std::pair<std::uint64_t, const std::string *>> ranks;
    ranks.reserve(candidates.size());
    for (const std::string &candidate : candidates)
        ranks.emplace_back(rendezvousRank(key, candidate), &candidate);
    const std::size_t count = std::min<std::size_t>(2, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      ranks.end());
    return {ranks.front().second, ranks[count - 1].second};
}

} // namespace

EndpointSelector::EndpointSelector(SelectionPolicy policy, std::uint64_t seed)
    : m_policy(policy)
    , m_random(seed)
{ }

std::optional<std::string> EndpointSelector::choose(const std::vector<std::string> &candidates,
                                                    TimePoint now, const SelectionRequest &request)
{
    if (candidates.empty())
        return std::nullopt;
    const std::scoped_lock lock(m_mutex);
    const auto powerOfTwo = [&](PowerOfTwoChoices &) {
        return lessLoadedOfTwo(candidates, now, request.workClass);
    };
    const auto roundRobin = [&](RoundRobin &policy) {
        return candidates[policy.next++ % candidates.size()];
    };
    const auto prefixAffinity = [&](PrefixAffinity &policy) {
        return chooseByPrefix(policy, candidates, now, request);
    };
    return std::visit(Overloaded{powerOfTwo, roundRobin, prefixAffinity}, m_policy);
}

bool EndpointSelector::areAllFull(const std::vector<std::string> &candidates, TimePoint now,
                                  WorkClass workClass) const
{
    const std::scoped_lock lock(m_mutex);
    return std::all_of(candidates.begin(), candidates.end(), [&](const std::string &candidate) {
        return isKnownFull(candidate, now, workClass);
    });
}

void EndpointSelector::setLoad(const std::string &endpoint, const EndpointLoad &load, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_loads[endpoint] = {load, now};
}

const EndpointLoad *EndpointSelector::knownLoad(const std::string &endpoint, TimePoint now) const
{
    const auto found = m_loads.find(endpoint);
    if (found == m_loads.end() || now - found->second.since > LoadLifetime)
        return nullptr;
    return &found->second.load;
}

std::optional<std::chrono::milliseconds> EndpointSelector::revocableAge(const std::string &endpoint,
                                                                        TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const EndpointLoad *load = knownLoad(endpoint, now);
    if (load == nullptr || load->revocable == 0)
        return std::nullopt;
    return load->newestRevocableAge;
}

double EndpointSelector::loadOf(const std::string &endpoint, TimePoint now,
                                WorkClass workClass) const
{
    const EndpointLoad *load = knownLoad(endpoint, now);
    if (load == nullptr)
        return 0;
    // Batch slots are no load for an online request, because one is revoked for it if it has to
    // wait.
    const int revocable = workClass == WorkClass::Online ? load->revocable : 0;
    const int counted = load->inFlight - revocable + load->queuedOnline;
    return static_cast<double>(counted) / std::max(1, load->limit);
}

bool EndpointSelector::isKnownFull(const std::string &endpoint, TimePoint now,
                                   WorkClass workClass) const
{
    const EndpointLoad *load = knownLoad(endpoint, now);
    return load != nullptr && isFull(*load, workClass);
}

EndpointSelector::Names EndpointSelector::withoutFull(const Names &candidates, TimePoint now,
                                                      WorkClass workClass) const
{
    Names free;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(free),
                 [&](const std::string &name) { return !isKnownFull(name, now, workClass); });
    return free.empty() ? candidates : free;
}

std::string EndpointSelector::lessLoadedOfTwo(const Names &candidates, TimePoint now,
                                              WorkClass workClass)
{
    const Names free = withoutFull(candidates, now, workClass);
    const std::size_t first = m_random() % free.size();
    if (free.size() == 1)
        return free[first];
    const std::size_t offset = 1 + m_random() % (free.size() - 1);
    const std::size_t second = (first + offset) % free.size();
    const bool isSecondLessLoaded =
            loadOf(free[second], now, workClass) < loadOf(free[first], now, workClass);
    return isSecondLessLoaded ? free[second] : free[first];
}

std::string EndpointSelector::chooseByPrefix(const PrefixAffinity &policy, const Names &candidates,
                                             TimePoint now, const SelectionRequest &request)
{
    if (request.prefix) {
        for (const std::string *name : topTwo(candidates, *request.prefix)) {
            const auto known = m_loads.find(*name);
            if (known == m_loads.end() || now - known->second.since > PrefixLoadLifetime)
                return *name;
            const bool isBelowBound = loadOf(*name, now, request.workClass) <= policy.loadBound;
            if (isBelowBound && !isKnownFull(*name, now, request.workClass))
                return *name;
        }
    }
    return lessLoadedOfTwo(candidates, now, request.workClass);
}

} // namespace pistachiofall
