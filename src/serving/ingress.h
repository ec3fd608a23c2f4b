#pragma once

#include "fleet/stopschedule.h"
#include "serving/configholder.h"
#include "serving/jobservice.h"
#include "serving/onlineservice.h"

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Entry point for the requests of callers. Finds the route, checks the API key and the rate limit,
/// reads the body, and dispatches to the online service or to the job service.
class Ingress
{
public:
    Ingress(ServingDependencies dependencies, const ConfigHolder &config, OnlineService &online,
            JobService &jobs);

    /// Processes one request and sends the response.
    boost::asio::awaitable<void> handle(ServerExchange &exchange);

    /// The instance is asked to stop. From now on the schedule decides which requests are taken.
    void stop(const StopSchedule &schedule) { m_stop = schedule; }

private:
    boost::asio::awaitable<void> handleRequest(ServerExchange &exchange, OnlineRequest request);
    boost::asio::awaitable<void> handleJobCall(ServerExchange &exchange, ApiCall call,
                                               const ServingOrganisation &organisation);
    bool mayPassOn(SteadyTime deadline) const;
    boost::asio::awaitable<void> refuseStopping(ServerExchange &exchange, std::string requestId);
    boost::asio::awaitable<void> reject(ServerExchange &exchange, const OnlineRequest &request,
                                        Error error);

    ServingDependencies m_dependencies;
    const ConfigHolder &m_config;
    OnlineService &m_online;
    JobService &m_jobs;
    /// Set once the instance is asked to stop.
    std::optional<StopSchedule> m_stop;
};

} // namespace pistachiofall
