#include "serving/jobowners.h"

#include "base/stablehash.h"
#include "serving/jobformat.h"
#include "wire/body.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PeerCallTimeout{500};
// If the owner does not respond, the job is read from the store.
constexpr milliseconds OwnerReadTimeout{300};
// An owner that has not reached the store for this long is considered unable to write results, and
// its jobs are adopted.
constexpr milliseconds MaxOwnerStoreAge{2000};
// Reports name an ended job for this long: a machine that was frozen or cut off hears of it when it
// is back.
constexpr milliseconds EndedReportTime{10000};
// Longer than the reports of all peers together, so that the same news does not go round.
constexpr milliseconds EndedTtl{30000};
// A job that was not handed over for this long has found an owner.
constexpr milliseconds HandOverTtl{60000};
// An instance that has not reached the store for this long is not chosen to adopt jobs.
constexpr milliseconds MaxAdopterStoreAge{1000};

} // namespace

JobOwners::JobOwners(const asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
                     FleetPeers &peers, Callbacks callbacks)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
{ }

// The owner has the form "name/incarnation".
bool JobOwners::isOwnerAlive(const std::string &owner) const
{
    const auto slash = owner.rfind('/');
    const std::string name = owner.substr(0, slash);
    const auto incarnation = m_peers.incarnationOf(name);
    if (!m_peers.isAlive(name) || !incarnation
        || owner.substr(slash + 1) != std::to_string(*incarnation))
        return false;
    return name == m_peers.self().name || m_peers.storeAgeOf(name) < MaxOwnerStoreAge;
}

// The names, in sorted order, of the live instances that take callers and reach the store; the name
// of this instance if there is none.
std::vector<std::string> JobOwners::adopters() const
{
    const auto callers = m_peers.callerInstances();
    std::vector<std::string> names;
    for (const std::string &name : m_peers.aliveNames()) {
        const bool takesCallers = std::find(callers.begin(), callers.end(), name) != callers.end();
        const bool isSelf = name == m_peers.self().name;
        const auto age = isSelf ? m_callbacks.storeAge() : m_peers.storeAgeOf(name);
        if (takesCallers && age < MaxAdopterStoreAge && !(isSelf && m_callbacks.isStopping()))
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    if (names.empty())
        names.push_back(m_peers.self().name);
    return names;
}

std::size_t JobOwners::adoptersBefore() const
{
    const auto names = adopters();
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), m_peers.self().name)
                                    - names.begin());
}

// Chooses the adopter by rendezvous hashing of the job id, so that the jobs of a lost instance are
// spread over all adopters, and of the number of earlier attempts.
std::string JobOwners::chooseAdopter(const std::string &jobId)
{
    const auto now = m_clock.now();
    std::erase_if(m_handOvers,
                  [now](const auto &each) { return now - each.second.last > HandOverTtl; });
    HandOver &handOver = m_handOvers[jobId];
    const std::string key =
            handOver.count == 0 ? jobId : jobId + '/' + std::to_string(handOver.count);
    ++handOver.count;
    handOver.last = now;
    const auto names = adopters();
    return *std::min_element(names.begin(), names.end(),
                             [&key](const std::string &left, const std::string &right) {
                                 return rendezvousRank(key, left) < rendezvousRank(key, right);
                             });
}

bool JobOwners::handOver(const JobRecord &record)
{
    const std::string to = isOwnerAlive(record.owner)
            ? record.owner.substr(0, record.owner.rfind('/'))
            : chooseAdopter(record.id);
    const auto address = m_peers.addressOf(to);
    if (!address)
        return false;
    m_log.info("job_handed_over", {{"job", record.id}, {"to", to}, {"owner", record.owner}});
    wire::JobNoticeT notice;
    notice.jobId = record.id;
    wire::BodyUnion body;
    body.Set(std::move(notice));
    asio::co_spawn(m_executor, notify(*address, std::move(body), record.id), asio::detached);
    return true;
}

void JobOwners::notifyJobEnded(const std::string &jobId)
{
    recordEnded(jobHash(jobId));
    for (const std::string &name : m_peers.aliveNames()) {
        const auto address = m_peers.addressOf(name);
        if (!address)
            continue;
        wire::JobEndedT ended;
        ended.jobId = jobId;
        wire::BodyUnion body;
        body.Set(std::move(ended));
        asio::co_spawn(m_executor, notify(*address, std::move(body), jobId), asio::detached);
    }
}

bool JobOwners::recordEnded(std::uint64_t jobHash)
{
    return m_ended.try_emplace(jobHash, m_clock.now()).second;
}

std::vector<std::uint64_t> JobOwners::recentlyEnded()
{
    const auto now = m_clock.now();
    std::erase_if(m_ended, [now](const auto &each) { return now - each.second > EndedTtl; });
    std::vector<std::pair<SteadyTime, std::uint64_t>> newest;
    for (const auto &[hash, heard] : m_ended) {
        if (now - heard <= EndedReportTime)
            newest.emplace_back(heard, hash);
    }
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), MaxReportedJobs));
    std::vector<std::uint64_t> hashes;
    for (const auto &[heard, hash] : newest)
        hashes.push_back(hash);
    return hashes;
}

void JobOwners::recordPeerJobs(const std::string &peer, std::uint64_t incarnation,
                               std::vector<std::uint64_t> jobs)
{
    if (jobs.size() > MaxReportedJobs) {
        m_log.warning("peer_jobs_too_many", {{"peer", peer}, {"jobs", std::uint64_t{jobs.size()}}});
        jobs.clear();
    }
    if (jobs.empty()) {
        m_peerJobs.erase(peer);
        return;
    }
    m_peerJobs[peer] = {peer + '/' + std::to_string(incarnation), std::move(jobs)};
}

std::string JobOwners::ownerOf(const std::string &jobId) const
{
    const std::uint64_t hash = jobHash(jobId);
    for (const auto &[peer, owned] : m_peerJobs) {
        if (std::find(owned.jobs.begin(), owned.jobs.end(), hash) != owned.jobs.end())
            return owned.owner;
    }
    return {};
}

bool JobOwners::isReported(const JobRecord &record) const
{
    const std::uint64_t hash = jobHash(record.id);
    const auto reported = m_peerJobs.find(record.owner.substr(0, record.owner.rfind('/')));
    if (reported == m_peerJobs.end() || reported->second.owner != record.owner)
        return false;
    const auto &jobs = reported->second.jobs;
    return std::find(jobs.begin(), jobs.end(), hash) != jobs.end();
}

void JobOwners::recordPeerListing(milliseconds age)
{
    m_peerListing = std::max(m_peerListing, std::optional<SteadyTime>(m_clock.now() - age));
}

std::optional<milliseconds> JobOwners::peerListingAge() const
{
    if (!m_peerListing)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - *m_peerListing);
}

std::uint64_t JobOwners::jobHash(const std::string &jobId)
{
    return stableHash(jobId);
}

asio::awaitable<Result<JobRecord>> JobOwners::fetchRecord(std::string owner, std::string jobId)
{
    const Error unknown{ErrorCode::Unavailable,
                        "the owner '" + owner + "' did not return the state of the job"};
    const auto address = m_peers.addressOf(owner.substr(0, owner.rfind('/')));
    if (!address || !isOwnerAlive(owner))
        co_return unknown;
    wire::JobStateFetchT fetch;
    fetch.jobId = std::move(jobId);
    wire::BodyUnion body;
    body.Set(std::move(fetch));
    const auto reply = co_await m_peers.client().call(*address, std::move(body), OwnerReadTimeout);
    const auto *data = isOk(reply) ? valueOf(reply).AsJobStateData() : nullptr;
    if (data == nullptr || data->payload.empty())
        co_return unknown;
    co_return decodeJobText(std::string(data->payload.begin(), data->payload.end()));
}

// Sends a notification about a job to a peer, without a retry: the peer finds what a lost
// notification would have told it by a later read of the store.
asio::awaitable<void> JobOwners::notify(SocketAddress address, wire::BodyUnion body,
                                        std::string jobId)
{
    const auto reply = co_await m_peers.client().call(address, std::move(body), PeerCallTimeout);
    if (!isOk(reply))
        m_log.warning(
                "peer_not_told",
                {{"job", jobId}, {"peer", address.toString()}, {"reason", errorOf(reply).message}});
}

} // namespace pistachiofall
