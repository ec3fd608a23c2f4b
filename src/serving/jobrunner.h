#pragma once

#include "fleet/itemorder.h"
#include "serving/itemqueues.h"
#include "serving/jobadopter.h"
#include "serving/jobstore.h"
#include "serving/jobwriter.h"
#include "serving/onlineservice.h"
#include "serving/ownedjob.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Runs the items of the batch jobs that this instance owns, in slots that online requests do not
/// need. An item whose slot is needed is preempted, and resumes later after its last event,
/// possibly at another endpoint. Results become readable to callers once the store has acknowledged
/// them. Not thread safe.
class JobRunner
{
public:
    struct Callbacks
    {
        /// Returns the configuration in force; null if there is none yet.
        std::function<ServingConfig::Ptr()> config;
        /// Whether the process of an owner is running and reaches the store, as far as this
        /// instance knows.
        std::function<bool(const std::string &owner)> isOwnerAlive;
        /// As those of JobAdopter::Callbacks.
        std::function<bool(const JobRecord &record)> isReported;
        std::function<std::size_t()> listersBefore;
        std::function<std::optional<std::chrono::milliseconds>()> peerListingAge;
        std::function<bool(const JobRecord &record)> handOver;
    };

    /// The owner identifies this instance and its process, as "name/incarnation". No item of a job
    /// that was ended longer than the cancel bound ago starts.
    JobRunner(const boost::asio::any_io_executor &executor, ServingDependencies dependencies,
              JobStore &store, std::string owner, std::chrono::milliseconds cancelBound,
              Callbacks callbacks);

    /// Starts the loop that adopts orphans.
    void start() { m_adopter.start(); }

    /// Starts to run a job that this instance has stored, or that the store names it as the owner
    /// of in its answer to a call sent at the time given, in the time of Clock::bootNow().
    void add(JobRecord record, std::vector<JobItem> items, SteadyTime confirmed);

    /// Finds and takes over jobs without an owner.
    JobAdopter &adopter() { return m_adopter; }

    /// Starts pending items in free slots, in the order of ItemOrder.
    void startPendingItems();
    /// Preempts running items at the endpoint, so that count of them in all are giving up their
    /// slots. Returns how many begin to do so only now.
    int preempt(const std::string &endpoint, int count);
    /// Releases the job because a caller has ended it.
    void jobEnded(const std::string &id);
    /// Releases the jobs with this hash of their id for the same reason.
    void jobEndedByHash(std::uint64_t hash);
    /// Starts no more items, cancels those that are running, and writes finished results at once.
    void stop();

    /// The state of a job for readers, under the read lease or as read from the store. Nothing if
    /// this instance does not own the job or the store does not respond.
    boost::asio::awaitable<std::optional<JobRecord>> currentRecord(std::string id);

    const std::string &owner() const { return m_owner; }
    std::shared_ptr<OwnedJob> find(const std::string &id) const;
    std::size_t jobCount() const { return m_jobs.size(); }
    /// The ids of the jobs that run here, count at most.
    std::vector<std::string> jobIds(std::size_t count) const;
    /// The items that were ready to start and found no slot at the last attempt, by service.
    const std::map<std::string, std::size_t> &waitingItems() const { return m_waitingItems; }
    /// Sets the gauges of the jobs and of the waiting items.
    void updateMetrics();

private:
    using JobPtr = std::shared_ptr<OwnedJob>;
    using WallTime = std::chrono::system_clock::time_point;
    void routeItems(OwnedJob &job) const;
    std::string_view reasonToGiveUp(const OwnedJob &job, const ItemProgress &progress,
                                    WallTime now) const;
    void giveUpItems();
    ItemQueues pendingItems();
    ItemRank rankOf(const OwnedJob &job, const ItemProgress &progress) const;
    std::uint64_t batchTurn() const;
    ItemQueues::Start startItem(const QueuedItem &item);
    bool isHeldBack(const QueuedItem &item);
    void finishAsDead(const JobPtr &job, std::size_t index, std::string_view reason);
    boost::asio::awaitable<void> runItem(JobPtr job, std::size_t index, Placement placement);
    boost::asio::awaitable<void> callEndpoint(JobPtr job, std::size_t index, Placement placement);
    boost::asio::awaitable<bool> confirmOwnership(JobPtr job);
    void startAsking(const JobPtr &job);
    boost::asio::awaitable<void> askForConfirmation(JobPtr job);
    bool isConfirmed(const OwnedJob &job, std::chrono::milliseconds maxAge) const;
    void noteAnswer(const ItemProgress &progress, const FleetEndpoint &endpoint, bool isFailure,
                    std::chrono::duration<double> timePerEvent) const;
    /// Why a run has ended before its answer was complete.
    struct Interruption
    {
        std::string_view reason;
        bool hasEndpointEnded = false;
        /// As CallFailure::isStaleConnection.
        bool isStaleConnection = false;
    };

    void recordInterruption(const JobPtr &job, std::size_t index, const FleetEndpoint &endpoint,
                            const Interruption &interruption);
    void noteEndpointEnd(const JobPtr &job, std::size_t index, const FleetEndpoint &endpoint);
    std::chrono::milliseconds retryDelay(const JobPtr &job, std::size_t index) const;
    boost::asio::awaitable<void> handleFailureResponse(JobPtr job, std::size_t index,
                                                       FleetEndpoint endpoint,
                                                       AnswerHead responseHead, ResponseKind kind);
    void finishItem(const JobPtr &job, std::size_t index, JobResult result);
    void release(const JobPtr &job, std::string_view reason);
    JobAdopter::Callbacks adopterCallbacks();

    boost::asio::any_io_executor m_executor;
    ServingDependencies m_dependencies;
    std::string m_owner;
    /// An item starts only if the store has confirmed within this time that its job is open and
    /// owned by this instance.
    std::chrono::milliseconds m_confirmationTtl;
    Callbacks m_callbacks;
    JobWriter m_writer;
    JobAdopter m_adopter;
    std::map<std::string, JobPtr> m_jobs;
    /// By service, as items of different services differ in size.
    std::map<std::string, ItemOrder> m_itemOrders;
    std::map<std::string, std::size_t> m_waitingItems;
    /// The items that were ready to start and held back at the last attempt.
    std::size_t m_heldItems = 0;
    /// Those of the services that had items waiting once.
    std::map<std::string, Gauge *> m_waitingGauges;
    bool m_isStopping = false;
    bool m_isStartingItems = false;
    /// The services whose items that are not urgent have found no slot in this round.
    std::set<std::string> m_heldServices;
};

} // namespace pistachiofall
