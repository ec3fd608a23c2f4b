#pragma once

#include "serving/jobstore.h"
#include "serving/onlineservice.h"
#include "serving/ownedjob.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Runs the items of the batch jobs that this instance owns, in slots that online requests leave.
/// An item whose slot is needed is put aside and goes on later, elsewhere, after its last event.
/// Results are read by callers once the store has acknowledged them. It lives on one thread.
class JobRunner
{
public:
    struct Callbacks
    {
        /// The configuration in force; null before there is one.
        std::function<ServingConfig::Ptr()> config;
        /// Whether an owner's process runs and reaches the store, as far as this instance knows.
        std::function<bool(const std::string &owner)> isOwnerAlive;
        /// Whether this instance looks for the jobs of owners that have gone.
        std::function<bool()> scansForOrphans;
        /// Gives a job without an owner to the instance that is to adopt it; false when that is
        /// this one.
        std::function<bool(const std::string &jobId)> handOver;
    };

    /// The owner names the instance and the start of its process.
    JobRunner(const boost::asio::any_io_executor &executor, ServingDependencies dependencies,
              JobStore &store, std::string owner, Callbacks callbacks);

    /// Begins to look for jobs without an owner.
    void start();

    /// Takes a job that this instance has just stored, or has taken over.
    void add(JobRecord record, std::vector<JobItem> items);

    /// The job may be this instance's, after a write without an answer, or has no owner: it is
    /// looked up until the store answers, and adopted.
    void requestLookUp(const std::string &id);

    /// Starts items in free slots.
    void startPendingItems();
    /// Puts items at the endpoint aside.
    void preempt(const std::string &endpoint, int count);
    /// A caller has ended the job.
    void jobEnded(const std::string &id);
    /// An instance has gone; its jobs are looked for soon.
    void expediteAdoption();
    /// Starts no more items, puts those that run aside and writes their results.
    void stop();

    /// The state of a job for those who read it, no older than the reading life; nothing when this
    /// instance does not own it or the store does not answer.
    boost::asio::awaitable<std::optional<JobRecord>> currentRecord(std::string id);

    const std::string &owner() const { return m_owner; }
    std::shared_ptr<OwnedJob> find(const std::string &id) const;
    std::size_t jobCount() const { return m_jobs.size(); }

private:
    using JobPtr = std::shared_ptr<OwnedJob>;
    /// Jobs by due time, then by id.
    using DueOrderKey = std::tuple<SteadyTime, std::string>;

    bool placeItem(const JobPtr &job, std::size_t index, const ServingConfig &config);
    void finishAsDead(const JobPtr &job, std::size_t index, std::string_view reason);
    boost::asio::awaitable<void> runItem(JobPtr job, std::size_t index, Placement placement);
    boost::asio::awaitable<void> callEndpoint(JobPtr job, std::size_t index, Placement placement);
    boost::asio::awaitable<bool> confirmOwnership(JobPtr job);
    void handleFailureResponse(const JobPtr &job, std::size_t index, const AnswerHead &responseHead,
                               const Placement &placement);
    void finishItem(const JobPtr &job, std::size_t index, JobResult result);
    boost::asio::awaitable<void> writeResults(JobPtr job);
    boost::asio::awaitable<bool> reconcile(JobPtr job);
    void releaseIfNotOwned(const JobPtr &job);
    void release(const JobPtr &job, std::string_view reason);
    boost::asio::awaitable<void> runAdoptionLoop();
    boost::asio::awaitable<void> adoptOrphans();
    boost::asio::awaitable<void> processLookUps();
    bool isOrphan(const JobRecord &record) const;
    boost::asio::awaitable<void> adopt(JobRecord record);

    boost::asio::any_io_executor m_executor;
    ServingDependencies m_dependencies;
    JobStore &m_store;
    std::string m_owner;
    Callbacks m_callbacks;
    std::map<std::string, JobPtr> m_jobs;
    std::set<DueOrderKey> m_dueOrder;
    std::set<std::string> m_pendingLookUps;
    SteadyTime m_nextAdoption{};
    bool m_isStopping = false;
    bool m_isStartingItems = false;
};

} // namespace pistachiofall
