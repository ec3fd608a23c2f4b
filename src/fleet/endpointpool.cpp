#include "fleet/endpointpool.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace pistachiofall {

namespace {

// An endpoint of a failure domain that returns from an evacuation is assumed to be cold for this
// time, because it may not have reported so yet.
constexpr std::chrono::milliseconds AssumedColdPeriod{3000};
// Two report intervals of a peer in the same failure domain.
constexpr std::chrono::milliseconds BatchDelayAfterFull{100};

std::uint32_t markOf(std::uint64_t key)
{
    return static_cast<std::uint32_t>(key);
}

} // namespace

EndpointUsage EndpointPool::Entry::total() const
{
    return {local.online + peerTotal.online, local.batch + peerTotal.batch};
}

void EndpointPool::Entry::setPeerUsage(const std::string &peer, std::size_t domain,
                                       const EndpointUsage &usage, const DomainUsage &domains)
{
    if (reported.size() <= domain)
        reported.resize(domain + 1);
    EndpointUsage &known = peers[peer];
    reported[domain] -= known;
    reported[domain] += usage;
    if (!domains.isSummarised(domain)) {
        peerTotal -= known;
        peerTotal += usage;
    }
    known = usage;
    if (usage.total() == 0)
        peers.erase(peer);
}

void EndpointPool::Entry::sumPeers(const DomainUsage &domains)
{
    reported.resize(domains.count());
    summarised.resize(domains.count());
    peerTotal = {};
    for (std::size_t domain = 0; domain < domains.count(); ++domain)
        peerTotal += domains.isSummarised(domain) ? summarised[domain] : reported[domain];
}

bool EndpointPool::Entry::isFull() const
{
    return total().total() >= endpoint.slots;
}

EndpointPool::EndpointPool(std::string instance)
    : m_instance(std::move(instance))
    , m_instances{m_instance}
    , m_batchTurns(m_instance)
{ }

bool EndpointPool::update(const FleetEndpoint &endpoint, SteadyTime now)
{
    const auto found = m_entries.find(endpoint.id);
    bool isNew = found == m_entries.end();
    if (!isNew && found->second.endpoint.startedAt != endpoint.startedAt) {
        // Another process has registered under the same id, so the state of the previous one is
        // invalid.
        remove(endpoint.id);
        isNew = true;
    }
    Entry &entry = m_entries.try_emplace(endpoint.id, endpoint).first->second;
    entry.isLeaving = m_leaving.contains({endpoint.id, endpoint.startedAt});
    const bool isChanged = isNew || entry.endpoint.isDraining != endpoint.isDraining
            || entry.endpoint.address != endpoint.address;
    const bool isOtherVersion = isChanged || entry.endpoint.version != endpoint.version;
    entry.endpoint = endpoint;
    entry.speedKey = EndpointSpeeds::keyOf(endpoint);
    Entry *&marked = m_entriesByMark.try_emplace(markOf(entry.speedKey), &entry).first->second;
    if (marked != &entry)
        marked = nullptr;
    if (isOtherVersion)
        assignVersionRoles(endpoint.service, now);
    if (isNew) {
        for (const auto &[peer, usages] : m_peerUsage) {
            const auto usage = usages.find(endpoint.id);
            if (usage != usages.end())
                entry.setPeerUsage(peer, domainOf(peer), usage->second, m_domains);
        }
        entry.sumPeers(m_domains);
    }
    if (endpoint.coldRemaining.count() > 0 && now + endpoint.coldRemaining > entry.coldUntil)
        markCold(entry, endpoint.coldRemaining, now);
    return isChanged;
}

void EndpointPool::remove(const std::string &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    m_speeds.forget(found->second.speedKey);
    m_entriesByMark.erase(markOf(found->second.speedKey));
    m_entries.erase(found);
}

void EndpointPool::recordAnswer(const EndpointAnswer &answer, SteadyTime now)
{
    const auto found = m_entries.find(answer.endpoint.id);
    if (found == m_entries.end()
        || found->second.speedKey != EndpointSpeeds::keyOf(answer.endpoint))
        return;
    if (m_learnsSpeeds)
        m_speeds.record(answer);
    if (m_sharesFailures && answer.isFailure)
        m_failures.record(markOf(found->second.speedKey), now);
}

std::vector<std::string> EndpointPool::ids() const
{
    std::vector<std::string> all;
    for (const auto &[id, entry] : m_entries)
        all.push_back(id);
    return all;
}

const FleetEndpoint *EndpointPool::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.endpoint;
}

void EndpointPool::setConfig(ServingConfig::Ptr config)
{
    m_config = std::move(config);
}

void EndpointPool::setEvacuatedDomains(std::set<std::string> failureDomains, SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        const std::string &domain = entry.endpoint.failureDomain;
        if (m_evacuated.contains(domain) && !failureDomains.contains(domain))
            markCold(entry, AssumedColdPeriod, now);
    }
    m_evacuated = std::move(failureDomains);
}

void EndpointPool::setInstances(std::vector<std::string> instances)
{
    m_instances = std::move(instances);
}

double EndpointPool::coldRate(const std::string &service) const
{
    const ServingService *found = m_config ? m_config->service(service) : nullptr;
    return found == nullptr ? 0 : found->coldRate;
}

void EndpointPool::markCold(Entry &entry, std::chrono::milliseconds period, SteadyTime now)
{
    if (!isCold(entry, now))
        entry.coldStartLimiter.reset();
    entry.coldUntil = now + period;
}

bool EndpointPool::isCold(const Entry &entry, SteadyTime now) const
{
    return now < entry.coldUntil;
}

void EndpointPool::requestStarted(const std::string &id, WorkClass workClass, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    ++(workClass == WorkClass::Online ? entry.local.online : entry.local.batch);
    const double rate = coldRate(entry.endpoint.service);
    if (!isCold(entry, now) || rate <= 0)
        return;
    if (!entry.coldStartLimiter)
        entry.coldStartLimiter.emplace(now, rate, id, m_instance, m_instances);
    entry.coldStartLimiter->record(now);
}

void EndpointPool::requestFinished(const std::string &id, WorkClass workClass, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (found->second.isFull())
        found->second.lastFull = now;
    int &count =
            workClass == WorkClass::Online ? found->second.local.online : found->second.local.batch;
    // The count of an entry that was replaced meanwhile started from zero.
    count = std::max(0, count - 1);
}

void EndpointPool::recordFailure(const std::string &id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.recordFailure(now);
}

void EndpointPool::recordSuccess(const std::string &id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.recordSuccess();
}

void EndpointPool::setPeerUsage(const std::string &peer, std::map<std::string, EndpointUsage> usage,
                                SteadyTime now)
{
    // Most endpoints have no requests of the peer, neither before nor now.
    std::set<std::string> used;
    for (const auto &[id, each] : m_peerUsage[peer])
        used.insert(id);
    for (const auto &[id, each] : usage)
        used.insert(id);
    const std::size_t domain = domainOf(peer);
    for (const std::string &id : used) {
        const auto entry = m_entries.find(id);
        if (entry == m_entries.end())
            continue;
        if (entry->second.isFull())
            entry->second.lastFull = now;
        const auto found = usage.find(id);
        entry->second.setPeerUsage(
                peer, domain, found == usage.end() ? EndpointUsage{} : found->second, m_domains);
    }
    m_peerUsage[peer] = std::move(usage);
}

void EndpointPool::setPeerDomain(const std::string &peer, const std::string &failureDomain)
{
    const std::size_t domain = m_domains.indexOf(failureDomain);
    if (domainOf(peer) == domain)
        return;
    removePeer(peer);
    m_peerDomains[peer] = domain;
}

std::size_t EndpointPool::domainOf(const std::string &peer)
{
    const auto found = m_peerDomains.find(peer);
    return found == m_peerDomains.end() ? m_domains.indexOf({}) : found->second;
}

void EndpointPool::sumAllPeers()
{
    for (auto &[id, entry] : m_entries)
        entry.sumPeers(m_domains);
}

void EndpointPool::setDomainUsage(const std::string &failureDomain, int instances,
                                  const std::vector<DomainUsageMark> &usage, SteadyTime now)
{
    const std::size_t domain = m_domains.indexOf(failureDomain);
    const bool wasSummarised = m_domains.isSummarised(domain);
    if (!m_domains.accept(domain, instances, now))
        return;
    if (!wasSummarised)
        sumAllPeers();
    std::map<const Entry *, EndpointUsage> used;
    for (const DomainUsageMark &mark : usage) {
        const auto found = m_entriesByMark.find(mark.endpoint);
        if (found != m_entriesByMark.end() && found->second != nullptr)
            used[found->second] = mark.usage;
    }
    for (auto &[id, entry] : m_entries) {
        const auto found = used.find(&entry);
        const EndpointUsage newest = found == used.end() ? EndpointUsage{} : found->second;
        entry.summarised.resize(m_domains.count());
        if (entry.summarised[domain] == newest)
            continue;
        if (entry.isFull())
            entry.lastFull = now;
        entry.peerTotal -= entry.summarised[domain];
        entry.peerTotal += newest;
        entry.summarised[domain] = newest;
    }
}

std::vector<DomainUsageMark> EndpointPool::usageByDomain(const std::string &failureDomain)
{
    const std::size_t domain = m_domains.indexOf(failureDomain);
    std::vector<DomainUsageMark> marks;
    for (auto &[id, entry] : m_entries) {
        EndpointUsage usage = entry.local;
        if (domain < entry.reported.size())
            usage += entry.reported[domain];
        if (usage.total() > 0)
            marks.push_back({markOf(entry.speedKey), usage});
    }
    return marks;
}

void EndpointPool::removePeer(const std::string &peer)
{
    m_peerUsage.erase(peer);
    m_failures.setPeer(peer, {});
    m_batchTurns.remove(peer);
    const std::size_t domain = domainOf(peer);
    for (auto &[id, entry] : m_entries) {
        entry.setPeerUsage(peer, domain, {}, m_domains);
    }
}

bool EndpointPool::isInService(const Entry &entry) const
{
    return !entry.endpoint.isDraining && !entry.isLeaving
            && !m_evacuated.contains(entry.endpoint.failureDomain);
}

bool EndpointPool::isServing(const Entry &entry) const
{
    return isInService(entry) && entry.versionRole != VersionRole::Excluded;
}

// Canaries take a part of the requests only, so the others can not count on them.
bool EndpointPool::isCounted(const Entry &entry, const std::string &service) const
{
    return entry.endpoint.service == service && isServing(entry)
            && entry.versionRole != VersionRole::Canary;
}

void EndpointPool::enableRollouts(std::chrono::milliseconds newVersionHold)
{
    m_versions.enable(newVersionHold);
}

void EndpointPool::setVersionSplits(const std::map<std::string, VersionSplit> &splits,
                                    SteadyTime now)
{
    m_versions.setSplits(splits);
    assignAllVersionRoles(now);
}

void EndpointPool::assignVersionRoles(const std::string &service, SteadyTime now)
{
    if (!m_versions.isEnabled())
        return;
    std::vector<VersionRoles::Endpoint> endpoints;
    std::vector<Entry *> entries;
    for (auto &[id, entry] : m_entries) {
        if (entry.endpoint.service != service || entry.endpoint.isDraining)
            continue;
        endpoints.push_back({entry.endpoint.id, entry.endpoint.version});
        entries.push_back(&entry);
    }
    const std::vector<VersionRole> roles = m_versions.assign(service, endpoints, now);
    for (std::size_t index = 0; index < entries.size(); ++index)
        entries[index]->versionRole = roles[index];
}

void EndpointPool::assignAllVersionRoles(SteadyTime now)
{
    std::set<std::string> services;
    for (const auto &[id, entry] : m_entries)
        services.insert(entry.endpoint.service);
    for (const std::string &service : services)
        assignVersionRoles(service, now);
}

void EndpointPool::removeExpired(SteadyTime now)
{
    m_leaving.removeExpired(now);
    updatePreferences(now);
    if (m_domains.expire(now))
        sumAllPeers();
    if (m_versions.isEnabled())
        assignAllVersionRoles(now);
}

// Kept, because each choice reads all endpoints. A request occupies a slot of a fast endpoint for a
// shorter time, so that the same number of slots takes more requests there, and more of them are
// free: hence the square.
void EndpointPool::updatePreferences(SteadyTime now)
{
    if (!m_learnsSpeeds && !m_sharesFailures)
        return;
    m_failures.removeOld(now);
    for (auto &[id, entry] : m_entries) {
        const double speed = m_learnsSpeeds ? m_speeds.speed(entry.speedKey) : 1;
        entry.preference = speed * speed * m_failures.weight(markOf(entry.speedKey));
    }
}

VersionCounts EndpointPool::countVersion(const std::string &service, const std::string &version,
                                         SteadyTime now) const
{
    VersionCounts counts;
    for (const auto &[id, entry] : m_entries) {
        if (entry.endpoint.service != service || entry.endpoint.version != version
            || !isInService(entry))
            continue;
        ++counts.endpoints;
        counts.warm += isCold(entry, now) ? 0 : 1;
    }
    return counts;
}

int EndpointPool::requestsAtOtherVersions(const std::string &service,
                                          const std::string &version) const
{
    int requests = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.endpoint.service == service && entry.endpoint.version != version)
            requests += entry.total().total();
    }
    return requests;
}

bool EndpointPool::isUsable(const Entry &entry, const PlacementRequest &request,
                            SteadyTime now) const
{
    const FleetEndpoint &endpoint = entry.endpoint;
    if (endpoint.service != request.service || !isServing(entry)
        || request.excluded.contains(endpoint.id)
        || !entry.health.isUsable(now, entry.local.total()))
        return false;
    const double rate = coldRate(endpoint.service);
    if (!isCold(entry, now) || rate <= 0)
        return true;
    if (entry.coldStartLimiter)
        return entry.coldStartLimiter->isAllowed(now);
    return ColdStartLimiter(now, rate, endpoint.id, m_instance, m_instances).isAllowed(now);
}

std::vector<VersionRole> EndpointPool::versionPreferences(const PlacementRequest &request) const
{
    return m_versions.preferences(request.service, request.key, !request.excluded.empty());
}

EndpointCandidate EndpointPool::candidate(const Entry &entry, const PlacementRequest &request,
                                          SteadyTime now) const
{
    return {entry.endpoint.id,  entry.endpoint.slots,
            entry.total(),      entry.endpoint.failureDomain != request.failureDomain,
            isCold(entry, now), entry.preference};
}

std::optional<Placement> EndpointPool::placeOnline(const PlacementRequest &request,
                                                   SteadyTime now) const
{
    for (const VersionRole role : versionPreferences(request)) {
        bool isFull = false;
        if (const Entry *found = findOnline(request, role, now, isFull))
            return Placement{found->endpoint, isFull};
    }
    return std::nullopt;
}

const EndpointPool::Entry *EndpointPool::findOnline(const PlacementRequest &request,
                                                    VersionRole role, SteadyTime now,
                                                    bool &isFull) const
{
    const Entry *best = nullptr;
    EndpointChoice choice(request.key, m_usageAge);
    for (const auto &[id, entry] : m_entries) {
        if (entry.versionRole != role || !isUsable(entry, request, now))
            continue;
        if (choice.offerOnline(candidate(entry, request, now)))
            best = &entry;
    }
    isFull = choice.isBestFull();
    return best;
}

// Whether batch items may start at the endpoint at present, apart from the free slots there.
bool EndpointPool::mayStartBatch(const Entry &entry, const PlacementRequest &request,
                                 SteadyTime now) const
{
    const bool isSameDomain = entry.endpoint.failureDomain == request.failureDomain;
    return now - entry.lastFull >= BatchDelayAfterFull
            && m_batchTurns.hasTurn(entry.endpoint.id, request.service, isSameDomain,
                                    request.batchTurn)
            && isUsable(entry, request, now);
}

std::optional<Placement> EndpointPool::placeBatch(const PlacementRequest &request,
                                                  const FreeSlotMargin &margin,
                                                  SteadyTime now) const
{
    for (const VersionRole role : versionPreferences(request)) {
        if (const Entry *found = findBatch(request, margin, role, now))
            return Placement{found->endpoint, false};
    }
    return std::nullopt;
}

const EndpointPool::Entry *EndpointPool::findBatch(const PlacementRequest &request,
                                                   const FreeSlotMargin &margin, VersionRole role,
                                                   SteadyTime now) const
{
    const Entry *best = nullptr;
    EndpointChoice choice(request.key, m_usageAge);
    for (const auto &[id, entry] : m_entries) {
        if (entry.versionRole != role || entry.total().batch >= margin.maxBatch)
            continue;
        const EndpointCandidate offered = candidate(entry, request, now);
        const int wanted = offered.isOtherDomain ? margin.otherDomain : margin.sameDomain;
        const int left = std::min(wanted + request.extraMargin, offered.slots - 1);
        if (offered.slots - offered.usage.total() <= left || !mayStartBatch(entry, request, now))
            continue;
        if (id == request.previousEndpoint)
            return &entry;
        if (choice.offerBatch(offered, left))
            best = &entry;
    }
    return best;
}

int EndpointPool::batchItemsToPreempt(const std::string &id) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return 0;
    const Entry &entry = found->second;
    const int excess = entry.total().total() - entry.endpoint.slots;
    if (excess <= 0 || entry.local.batch == 0)
        return 0;
    const auto localRank = std::make_tuple(-entry.local.batch, std::string_view(m_instance));
    int preemptedByPeers = 0;
    for (const auto &[peer, usage] : entry.peers) {
        if (usage.batch > 0 && std::make_tuple(-usage.batch, std::string_view(peer)) < localRank)
            preemptedByPeers += usage.batch;
    }
    return std::clamp(excess - preemptedByPeers, 0, entry.local.batch);
}

std::map<std::string, EndpointUsage> EndpointPool::localUsage() const
{
    std::map<std::string, EndpointUsage> usage;
    for (const auto &[id, entry] : m_entries) {
        if (entry.local.total() > 0)
            usage[id] = entry.local;
    }
    return usage;
}

EndpointUsage EndpointPool::totalUsage(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? EndpointUsage{} : found->second.total();
}

int EndpointPool::slotCount(const std::string &service, SteadyTime now) const
{
    int slots = 0;
    for (const auto &[id, entry] : m_entries) {
        if (isCounted(entry, service) && entry.health.isUsable(now, 0))
            slots += entry.endpoint.slots;
    }
    return slots;
}

int EndpointPool::availableOnlineSlots(const std::string &service, SteadyTime now) const
{
    int freeSlots = 0;
    for (const auto &[id, entry] : m_entries) {
        if (isCounted(entry, service) && entry.health.isUsable(now, 0))
            freeSlots += std::max(0, entry.endpoint.slots - entry.total().online);
    }
    return freeSlots;
}

LoadSpread EndpointPool::loadSpread(const std::string &service) const
{
    LoadSpread spread;
    for (const auto &[id, entry] : m_entries) {
        if (!isCounted(entry, service))
            continue;
        const int freeSlots = entry.endpoint.slots - entry.total().total();
        ++spread.endpoints;
        spread.full += freeSlots <= 0 ? 1 : 0;
        spread.withRoom += freeSlots >= 2 ? 1 : 0;
    }
    return spread;
}

bool EndpointPool::markLeaving(const EndpointIncarnation &endpoint, SteadyTime now)
{
    const bool isNew = m_leaving.add(endpoint, now);
    const auto found = m_entries.find(endpoint.id);
    if (found != m_entries.end() && found->second.endpoint.startedAt == endpoint.startedAt)
        found->second.isLeaving = true;
    return isNew;
}

bool EndpointPool::accepts(const std::string &id, const std::string &service) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.endpoint.service == service
            && isServing(found->second);
}

int EndpointPool::endpointCount(const std::string &service,
                                const std::set<std::string> &excluded) const
{
    return static_cast<int>(
            std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &each) {
                return isCounted(each.second, service) && !excluded.contains(each.first);
            }));
}

} // namespace pistachiofall
