#pragma once

#include "serving/callercall.h"
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
    using EndNotice = std::function<void(const std::string &id)>;

    /// Asks the owner of a job, another instance, for its state; an error when it does not answer.
    using OwnerRead = std::function<boost::asio::awaitable<Result<JobHead>>(std::string owner,
                                                                            std::string id)>;

    JobService(ServingParts parts, JobStore &store, JobRunner &runner, OnlineService &online,
               EndNotice endNotice, OwnerRead ownerRead);

    /// Accepts a job once the store holds it.
    boost::asio::awaitable<void> submit(ServerExchange &exchange, OnlineRequest request);
    boost::asio::awaitable<void> readResults(ServerExchange &exchange, ResultsCall call,
                                             std::string organisation);
    boost::asio::awaitable<void> readBody(ServerExchange &exchange, ItemBodyCall call,
                                          std::string organisation);
    boost::asio::awaitable<void> end(ServerExchange &exchange, EndJobCall call,
                                     std::string organisation);

private:
    struct Known
    {
        std::shared_ptr<const JobHead> head;
        SteadyTime read{};
    };

    boost::asio::awaitable<Result<std::shared_ptr<const JobHead>>>
    headOf(std::string id, std::string organisation, SteadyTime asOf);
    boost::asio::awaitable<void> answerExisting(ServerExchange &exchange, OnlineRequest request,
                                                std::vector<JobItem> items);
    boost::asio::awaitable<void> answerUnavailable(ServerExchange &exchange, std::string_view call,
                                                   std::string id, Error error);
    boost::asio::awaitable<Result<JobHead>> readNewest(std::string id, std::string owner);
    void remember(std::shared_ptr<const JobHead> head);

    ServingParts m_parts;
    JobStore &m_store;
    JobRunner &m_runner;
    OnlineService &m_online;
    EndNotice m_endNotice;
    OwnerRead m_ownerRead;
    std::map<std::string, Known> m_known;
};

} // namespace pistachiofall
