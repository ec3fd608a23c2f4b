#include "fleet/endpointboard.h"

#include "base/stablehash.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace pistachiofall {

namespace {

// An endpoint that comes back from an evacuation may be cold without saying so yet.
constexpr std::chrono::milliseconds ColdWhenUnknown{3000};
// What is known of the use of an endpoint in another failure domain is older, and the way is
// longer.
constexpr double FarWeight = 0.25;
constexpr double ColdWeight = 0.1;
// Two reports of a peer near by.
constexpr std::chrono::milliseconds RestAfterFull{100};
// A batch item that is far from the requests that need its slot makes room late.
constexpr int FarBatchLoad = 4;

// A choice by weight in which equal keys choose alike: the candidate with the lowest value wins,
// and each wins in proportion to its weight.
double weightedRank(std::string_view key, std::string_view candidate, double weight)
{
    constexpr double HashRange = 18446744073709551616.0;
    const double point = (static_cast<double>(rendezvousRank(key, candidate)) + 1) / HashRange;
    return -std::log(point) / weight;
}

} // namespace

EndpointUse EndpointBoard::Entry::total() const
{
    return {own.online + byPeers.online, own.batch + byPeers.batch};
}

void EndpointBoard::Entry::setPeer(const std::string &peer, const EndpointUse &use)
{
    const auto found = peers.find(peer);
    if (found != peers.end()) {
        byPeers.online -= found->second.online;
        byPeers.batch -= found->second.batch;
    }
    byPeers.online += use.online;
    byPeers.batch += use.batch;
    if (use.total() == 0 && found != peers.end())
        peers.erase(found);
    else if (use.total() > 0)
        peers[peer] = use;
}

bool EndpointBoard::Entry::isFull() const
{
    return total().total() >= endpoint.slots;
}

EndpointBoard::EndpointBoard(std::string instance)
    : m_instance(std::move(instance))
    , m_instances{m_instance}
{ }

bool EndpointBoard::update(const FleetEndpoint &endpoint, SteadyTime now)
{
    const auto found = m_entries.find(endpoint.id);
    bool isNew = found == m_entries.end();
    if (!isNew && found->second.endpoint.startedAt != endpoint.startedAt) {
        // Another process under the same id: nothing that was seen of the one before holds.
        m_entries.erase(found);
        isNew = true;
    }
    const auto place =
            m_entries.try_emplace(endpoint.id, Entry{endpoint, {}, {}, {}, {}, {}, {}, {}}).first;
    Entry &entry = place->second;
    const bool isChanged = isNew || entry.endpoint.isDraining != endpoint.isDraining
            || entry.endpoint.address != endpoint.address;
    entry.endpoint = endpoint;
    if (isNew) {
        for (const auto &[peer, uses] : m_peerUse) {
            const auto use = uses.find(endpoint.id);
            if (use != uses.end())
                entry.setPeer(peer, use->second);
        }
    }
    if (endpoint.coldLeft.count() > 0 && now + endpoint.coldLeft > entry.coldUntil)
        makeCold(entry, endpoint.coldLeft, now);
    return isChanged;
}

void EndpointBoard::remove(const std::string &id)
{
    m_entries.erase(id);
}

std::vector<std::string> EndpointBoard::ids() const
{
    std::vector<std::string> all;
    for (const auto &[id, entry] : m_entries)
        all.push_back(id);
    return all;
}

const FleetEndpoint *EndpointBoard::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.endpoint;
}

void EndpointBoard::setConfig(ServingConfig::Ptr config)
{
    m_config = std::move(config);
}

void EndpointBoard::setEvacuated(std::set<std::string> failureDomains, SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        const std::string &domain = entry.endpoint.failureDomain;
        if (m_evacuated.contains(domain) && !failureDomains.contains(domain))
            makeCold(entry, ColdWhenUnknown, now);
    }
    m_evacuated = std::move(failureDomains);
}

void EndpointBoard::setInstances(std::vector<std::string> instances)
{
    m_instances = std::move(instances);
}

double EndpointBoard::coldRate(const std::string &service) const
{
    const ServingService *found = m_config ? m_config->service(service) : nullptr;
    return found == nullptr ? 0 : found->coldRate;
}

void EndpointBoard::makeCold(Entry &entry, std::chrono::milliseconds period, SteadyTime now)
{
    if (!isCold(entry, now))
        entry.coldGate.reset();
    entry.coldUntil = now + period;
}

bool EndpointBoard::isCold(const Entry &entry, SteadyTime now) const
{
    return now < entry.coldUntil;
}

void EndpointBoard::beginRun(const std::string &id, WorkClass workClass, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    ++(workClass == WorkClass::Online ? entry.own.online : entry.own.batch);
    const double rate = coldRate(entry.endpoint.service);
    if (!isCold(entry, now) || rate <= 0)
        return;
    if (!entry.coldGate)
        entry.coldGate.emplace(now, rate, id, m_instance, m_instances);
    entry.coldGate->take(now);
}

void EndpointBoard::endRun(const std::string &id, WorkClass workClass, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (found->second.isFull())
        found->second.lastFull = now;
    int &count =
            workClass == WorkClass::Online ? found->second.own.online : found->second.own.batch;
    // An entry that was replaced meanwhile starts from zero.
    count = std::max(0, count - 1);
}

void EndpointBoard::noteFailure(const std::string &id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.noteFailure(now);
}

void EndpointBoard::noteSuccess(const std::string &id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.health.noteSuccess();
}

void EndpointBoard::setPeerUse(const std::string &peer, std::map<std::string, EndpointUse> use,
                               SteadyTime now)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.isFull())
            entry.lastFull = now;
        const auto found = use.find(id);
        entry.setPeer(peer, found == use.end() ? EndpointUse{} : found->second);
    }
    m_peerUse[peer] = std::move(use);
}

void EndpointBoard::forgetPeer(const std::string &peer)
{
    m_peerUse.erase(peer);
    for (auto &[id, entry] : m_entries)
        entry.setPeer(peer, {});
}

bool EndpointBoard::isServing(const Entry &entry) const
{
    return !entry.endpoint.isDraining && !m_evacuated.contains(entry.endpoint.failureDomain);
}

bool EndpointBoard::isUsable(const Entry &entry, const PlacementRequest &request,
                             SteadyTime now) const
{
    const FleetEndpoint &endpoint = entry.endpoint;
    if (endpoint.service != request.service || !isServing(entry)
        || request.excluded.contains(endpoint.id) || !entry.health.isUsable(now, entry.own.total()))
        return false;
    const double rate = coldRate(endpoint.service);
    if (!isCold(entry, now) || rate <= 0)
        return true;
    if (entry.coldGate)
        return entry.coldGate->isOpen(now);
    return ColdGate(now, rate, endpoint.id, m_instance, m_instances).isOpen(now);
}

std::optional<Placement> EndpointBoard::placeOnline(const PlacementRequest &request,
                                                    SteadyTime now) const
{
    // A free slot first. Among the endpoints with one, each is chosen by the square of its free
    // slots: an engine is nearly as fast with many requests as with few, and instances whose views
    // are equally old must not all choose the emptiest one.
    using Score = std::tuple<bool, double>;
    const Entry *best = nullptr;
    Score bestScore;
    for (const auto &[id, entry] : m_entries) {
        if (!isUsable(entry, request, now))
            continue;
        const EndpointUse use = entry.total();
        const bool isFull = use.total() >= entry.endpoint.slots;
        if (isFull && (use.batch == 0 || use.online >= entry.endpoint.slots))
            continue;
        const int freeSlots = entry.endpoint.slots - (isFull ? use.online : use.total());
        double weight = static_cast<double>(freeSlots) * freeSlots;
        if (entry.endpoint.failureDomain != request.failureDomain)
            weight *= FarWeight;
        if (isCold(entry, now))
            weight *= ColdWeight;
        const Score score{isFull, weightedRank(request.key, id, weight)};
        if (best == nullptr || score < bestScore) {
            best = &entry;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return Placement{best->endpoint, std::get<0>(bestScore)};
}

std::optional<Placement> EndpointBoard::placeBatch(const PlacementRequest &request, int reserve,
                                                   SteadyTime now) const
{
    using Score = std::tuple<int, bool, std::uint64_t>;
    const Entry *best = nullptr;
    Score bestScore;
    for (const auto &[id, entry] : m_entries) {
        if (!isUsable(entry, request, now))
            continue;
        if (now - entry.lastFull < RestAfterFull)
            continue;
        const int used = entry.total().total();
        if (entry.endpoint.slots - used <= std::min(reserve, entry.endpoint.slots - 1))
            continue;
        const bool isFar = entry.endpoint.failureDomain != request.failureDomain;
        const Score score{used + (isFar ? FarBatchLoad : 0), isCold(entry, now),
                          rendezvousRank(request.key, id)};
        if (best == nullptr || score < bestScore) {
            best = &entry;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return Placement{best->endpoint, false};
}

int EndpointBoard::batchToYield(const std::string &id) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return 0;
    const Entry &entry = found->second;
    const int excess = entry.total().total() - entry.endpoint.slots;
    if (excess <= 0 || entry.own.batch == 0)
        return 0;
    const auto ownRank = std::make_tuple(-entry.own.batch, std::string_view(m_instance));
    int before = 0;
    for (const auto &[peer, use] : entry.peers) {
        if (use.batch > 0 && std::make_tuple(-use.batch, std::string_view(peer)) < ownRank)
            before += use.batch;
    }
    return std::clamp(excess - before, 0, entry.own.batch);
}

std::map<std::string, EndpointUse> EndpointBoard::ownUse() const
{
    std::map<std::string, EndpointUse> use;
    for (const auto &[id, entry] : m_entries) {
        if (entry.own.total() > 0)
            use[id] = entry.own;
    }
    return use;
}

EndpointUse EndpointBoard::totalUse(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? EndpointUse{} : found->second.total();
}

int EndpointBoard::slotCount(const std::string &service, SteadyTime now) const
{
    int slots = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.endpoint.service == service && isServing(entry) && entry.health.isUsable(now, 0))
            slots += entry.endpoint.slots;
    }
    return slots;
}

int EndpointBoard::freeOnlineSlots(const std::string &service, SteadyTime now) const
{
    int freeSlots = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.endpoint.service == service && isServing(entry) && entry.health.isUsable(now, 0))
            freeSlots += std::max(0, entry.endpoint.slots - entry.total().online);
    }
    return freeSlots;
}

int EndpointBoard::endpointCount(const std::string &service,
                                 const std::set<std::string> &excluded) const
{
    return static_cast<int>(
            std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &each) {
                return each.second.endpoint.service == service && isServing(each.second)
                        && !excluded.contains(each.first);
            }));
}

} // namespace pistachiofall
