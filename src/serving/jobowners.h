#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "base/result.h"
#include "coord/coordtimes.h"
#include "serving/fleetpeers.h"
#include "serving/jobrecord.h"
#include "wire/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Knows which owners of jobs are alive and who takes over the jobs of the others, and talks to
/// them. An owner has the form "name/incarnation". Not thread safe.
class JobOwners
{
public:
    struct Callbacks
    {
        /// The time since this instance last reached the store.
        std::function<std::chrono::milliseconds()> storeAge;
        /// Whether this instance is stopping, so that it takes over no jobs.
        std::function<bool()> isStopping;
    };

    JobOwners(const boost::asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
              FleetPeers &peers, Callbacks callbacks);

    /// Whether the process of an owner is running and reaches the store, as far as this instance
    /// knows.
    bool isOwnerAlive(const std::string &owner) const;
    /// The names, in sorted order, of the live instances that take callers and reach the store; the
    /// name of this instance if there is none.
    std::vector<std::string> adopters() const;
    /// The number of instances before this one in adopters(); all if it is none of them.
    std::size_t adoptersBefore() const;
    /// Tells the instance that is to run the job: its owner if that is alive, else the one chosen
    /// to adopt it, another one each time as that one may be unable to. Returns false if this
    /// instance is to run it.
    bool handOver(const JobRecord &record);
    /// Tells all live instances that a caller has ended the job. The reports of all that know of it
    /// name it for a while, so that also those hear of it that can not be reached now.
    void notifyJobEnded(const std::string &jobId);
    /// A peer knows that the job was ended, by jobHash(). Returns whether that is news.
    bool recordEnded(std::uint64_t jobHash);
    /// The jobs that were ended lately, by jobHash(), at most MaxReportedJobs.
    std::vector<std::uint64_t> recentlyEnded();
    /// A peer has reported the jobs that its process runs, by jobHash(). More than MaxReportedJobs
    /// are not taken.
    void recordPeerJobs(const std::string &peer, std::uint64_t incarnation,
                        std::vector<std::uint64_t> jobs);
    /// Another instance listed the open jobs this long ago.
    void recordPeerListing(std::chrono::milliseconds age);
    /// The time since another instance last listed the open jobs; nothing if none has told.
    std::optional<std::chrono::milliseconds> peerListingAge() const;
    void removePeer(const std::string &peer) { m_peerJobs.erase(peer); }
    /// The owner of a job by the reports of the peers; empty if none reports it. An instance that
    /// does not run the job says so when it is asked.
    std::string ownerOf(const std::string &jobId) const;
    /// Whether the reports of the owner that the store names include the job.
    bool isReported(const JobRecord &record) const;

    /// The jobs that a report names at most.
    static constexpr std::size_t MaxReportedJobs = 64;
    static std::uint64_t jobHash(const std::string &jobId);

    /// The state of a job as its owner knows it. Unavailable without an answer.
    boost::asio::awaitable<Result<JobRecord>> fetchRecord(std::string owner, std::string jobId);

private:
    struct PeerJobs
    {
        std::string owner;
        std::vector<std::uint64_t> jobs;
    };

    boost::asio::awaitable<void> notify(SocketAddress address, wire::BodyUnion body,
                                        std::string jobId);

    struct HandOver
    {
        int count = 0;
        SteadyTime last{};
    };

    std::string chooseAdopter(const std::string &jobId);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    FleetPeers &m_peers;
    Callbacks m_callbacks;
    std::map<std::string, PeerJobs> m_peerJobs;
    /// The jobs that were handed over to adopters lately.
    std::map<std::string, HandOver> m_handOvers;
    std::optional<SteadyTime> m_peerListing;
    /// When this instance heard of the end, by jobHash().
    std::map<std::uint64_t, SteadyTime> m_ended;
};

} // namespace pistachiofall
