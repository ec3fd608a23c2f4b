#pragma once

#include "fleet/uncertainwrites.h"
#include "serving/apicall.h"
#include "serving/jobrunner.h"
#include "serving/jobstore.h"
#include "serving/onlineservice.h"
#include "store/writeoutcome.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Serves the batch job calls of callers. Any instance can serve a call for any job.
class JobService
{
public:
    /// The longest time that a call takes.
    static constexpr std::chrono::milliseconds CallTimeout{2500};

    /// Notifies the other instances that a job has ended.
    using EndNotifier = std::function<void(const std::string &id)>;

    /// How the state of a job that another instance runs is read.
    struct OwnerReader
    {
        /// The owner of the job as far as its reports have told; empty if none did.
        std::function<std::string(const std::string &id)> ownerOf;
        /// Reads the state of a job from its owner, another instance. An error if the owner does
        /// not respond or does not own the job.
        std::function<boost::asio::awaitable<Result<JobRecord>>(std::string owner, std::string id)>
                read;
    };

    JobService(ServingDependencies dependencies, JobStore &store, JobRunner &runner,
               OnlineService &online, EndNotifier endNotifier, OwnerReader ownerReader);

    /// Stores a job and responds with 202 once the store has acknowledged it. A repeated submission
    /// gets the same response.
    boost::asio::awaitable<void> submit(ServerExchange &exchange, OnlineRequest request);
    /// Responds with the results from a position on. Waits for a result as long as the call allows.
    boost::asio::awaitable<void> readResults(ServerExchange &exchange, ResultsCall call,
                                             std::string organisation);
    /// Responds with the request body of an item.
    boost::asio::awaitable<void> readBody(ServerExchange &exchange, ItemBodyCall call,
                                          std::string organisation);
    /// Ends a job. Succeeds also if the job has already ended or is complete. A response that
    /// promises that the job has not ended and will not is certain of that.
    boost::asio::awaitable<void> end(ServerExchange &exchange, EndJobCall call,
                                     std::string organisation);

private:
    /// A record and the time when it was read.
    struct CachedRecord
    {
        std::shared_ptr<const JobRecord> record;
        SteadyTime read{};
    };

    enum class RecordAge {
        /// As read after the call began, so that no read shows less than an earlier one.
        Newest,
        /// As read at any time, for what never changes.
        Any,
    };

    enum class EndState { Ended, NoSuchJob, Open };

    boost::asio::awaitable<Result<std::shared_ptr<const JobRecord>>>
    findRecord(std::string id, std::string organisation, RecordAge age);
    boost::asio::awaitable<void> respondAccepted(ServerExchange &exchange, const std::string &id);
    boost::asio::awaitable<void> respondToDuplicate(ServerExchange &exchange, OnlineRequest request,
                                                    std::vector<JobItem> items);
    boost::asio::awaitable<void> respondUnavailable(ServerExchange &exchange, std::string_view call,
                                                    std::string id, Error error);
    boost::asio::awaitable<void> respondUncertain(ServerExchange &exchange, std::string_view call,
                                                  std::string id, std::string reason);
    boost::asio::awaitable<void> respondEnded(ServerExchange &exchange, std::string id);
    boost::asio::awaitable<EndState> tryToEnd(std::string id, std::string organisation,
                                              WriteOutcome &outcome);
    boost::asio::awaitable<Result<JobRecord>> readNewest(std::string id, std::string owner);
    Result<std::shared_ptr<const JobRecord>> takeRead(JobRecord read, SteadyTime asked);
    void logRead(std::string_view source, const JobRecord &record);
    void cacheRecord(std::shared_ptr<const JobRecord> record);

    ServingDependencies m_dependencies;
    JobStore &m_store;
    JobRunner &m_runner;
    OnlineService &m_online;
    EndNotifier m_endNotifier;
    OwnerReader m_ownerReader;
    std::map<std::string, CachedRecord> m_recordCache;
    /// Jobs that were submitted here and are stored or may be, by id.
    UncertainWrites m_submittedJobs;
    /// Ends without an answer of the store, by the id of the job.
    UncertainWrites m_uncertainEnds;
};

} // namespace pistachiofall
