#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/uncertainwrite.h"
#include "serving/jobstore.h"

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

/// Brings together which jobs the store says are open and which ones run: finds open jobs that
/// their owner does not run, and takes over those that fall to this instance. The owner may be
/// gone, or may not know of the job, as a call by which it came to own the job failed or had no
/// answer. A look-up ends only once the job is known to run or to need no owner, whatever fails
/// meanwhile.
///
/// Not thread safe.
class JobAdopter
{
public:
    struct Callbacks
    {
        /// Whether the process of an owner is running and reaches the store, as far as this
        /// instance knows.
        std::function<bool(const std::string &owner)> isOwnerAlive;
        /// Whether the reports of the owner, another instance, name the job.
        std::function<bool(const JobRecord &record)> isReported;
        /// The number of instances that come before this one to list the open jobs.
        std::function<std::size_t()> listersBefore;
        /// The time since another instance last listed the open jobs; nothing if none has told.
        std::function<std::optional<std::chrono::milliseconds>()> peerListingAge;
        /// Tells the instance that is to run the job: the owner if it is alive, else the one chosen
        /// to adopt the job. Returns false when this instance is the chosen one.
        std::function<bool(const JobRecord &record)> handOver;
        /// Whether the job runs here.
        std::function<bool(const std::string &jobId)> runsHere;
        /// The store has confirmed, in its answer to a call sent then, that the job belongs to this
        /// instance.
        std::function<void(JobRecord record, std::vector<JobItem> items, SteadyTime sent)> adopted;
    };

    /// The owner identifies this instance and its process, as "name/incarnation".
    JobAdopter(const boost::asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
               JobStore &store, std::string owner, Callbacks callbacks);

    void start();
    void stop() { m_isStopping = true; }

    /// Requests a look-up of a job that may not run. With a write without a response, by which the
    /// job may belong to this instance, the look-up is repeated until that is settled.
    void requestLookUp(const std::string &id);
    void requestLookUp(const std::string &id, UncertainWrite write);
    /// Brings the next listing of open jobs forward, because an owner may have gone.
    void expediteScan();
    /// The time since this instance last listed the open jobs; nothing if it never did.
    std::optional<std::chrono::milliseconds> listingAge() const;

private:
    struct LookUp
    {
        std::optional<UncertainWrite> write;
        SteadyTime next{};
        /// How often in a row the job could not be run here.
        int failures = 0;
    };

    boost::asio::awaitable<void> run();
    bool isListingDue() const;
    boost::asio::awaitable<void> scan();
    boost::asio::awaitable<void> processLookUps();
    boost::asio::awaitable<void> lookUp(std::string id);
    boost::asio::awaitable<bool> bringToRun(JobRecord record, SteadyTime asked);
    boost::asio::awaitable<bool> adopt(JobRecord record, SteadyTime asked);
    void repeatLater(const std::string &id);
    void noteLookedUp(const std::string &id, std::optional<std::uint64_t> revision);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    JobStore &m_store;
    std::string m_owner;
    Callbacks m_callbacks;
    std::map<std::string, LookUp> m_pendingLookUps;
    SteadyTime m_nextScan{};
    std::optional<SteadyTime> m_lastListing;
    bool m_isStopping = false;
};

} // namespace pistachiofall
