#pragma once

#include "serving/apicall.h"
#include "serving/jobrunner.h"
#include "serving/jobstore.h"
#include "serving/onlineservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Answers the calls of callers for batch jobs, at any instance.
class JobService
{
public:
    /// Tells the other instances that a job has ended.
    using EndNotifier = std::function<void(const std::string &id)>;

    /// Asks the owner of a job, another instance, for its state; an error when it does not answer.
    using OwnerReader = std::function<boost::asio::awaitable<Result<JobRecord>>(std::string owner,
                                                                                std::string id)>;

    JobService(ServingDependencies dependencies, JobStore &store, JobRunner &runner,
               OnlineService &online, EndNotifier endNotifier, OwnerReader ownerReader);

    /// Accepts a job once the store holds it.
    boost::asio::awaitable<void> submit(ServerExchange &exchange, OnlineRequest request);
    boost::asio::awaitable<void> readResults(ServerExchange &exchange, ResultsCall call,
                                             std::string organisation);
    boost::asio::awaitable<void> readBody(ServerExchange &exchange, ItemBodyCall call,
                                          std::string organisation);
    boost::asio::awaitable<void> end(ServerExchange &exchange, EndJobCall call,
                                     std::string organisation);

private:
    struct CachedRecord
    {
        std::shared_ptr<const JobRecord> record;
        SteadyTime read{};
    };

    boost::asio::awaitable<Result<std::shared_ptr<const JobRecord>>>
    findRecord(std::string id, std::string organisation, SteadyTime minReadTime);
    boost::asio::awaitable<void> respondToDuplicate(ServerExchange &exchange, OnlineRequest request,
                                                    std::vector<JobItem> items);
    boost::asio::awaitable<void> respondUnavailable(ServerExchange &exchange, std::string_view call,
                                                    std::string id, Error error);
    boost::asio::awaitable<Result<JobRecord>> readNewest(std::string id, std::string owner);
    void cacheRecord(std::shared_ptr<const JobRecord> record);

    ServingDependencies m_dependencies;
    JobStore &m_store;
    JobRunner &m_runner;
    OnlineService &m_online;
    EndNotifier m_endNotifier;
    OwnerReader m_ownerReader;
    std::map<std::string, CachedRecord> m_recordCache;
};

} // namespace pistachiofall
