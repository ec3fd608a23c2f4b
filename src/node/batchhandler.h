#pragma once

#include "batch/jobreader.h"
#include "batch/jobsubmitter.h"
#include "http/serverexchange.h"
#include "node/authenticator.h"
#include "node/limitclient.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Answers callers' requests about batch jobs, under /v1/batches.
class BatchHandler
{
public:
    /// The notice callback tells the coordinator of a job that it was created or cancelled.
    using Notice = std::function<void(const JobId &)>;

    BatchHandler(const Settings &settings, const Clock &clock, std::shared_ptr<ObjectStore> store,
                 Authenticator &authenticator, LimitClient &limits, Notice notice);

    boost::asio::awaitable<void> handle(ServerExchange &exchange);

    static constexpr std::string_view Path = "/v1/batches";

private:
    boost::asio::awaitable<void> submit(ServerExchange &exchange, KeyRule key);
    boost::asio::awaitable<void> status(ServerExchange &exchange, std::string organisation,
                                        JobId id);
    boost::asio::awaitable<void> results(ServerExchange &exchange, KeyRule key, JobId id);
    boost::asio::awaitable<void> cancel(ServerExchange &exchange, std::string organisation,
                                        JobId id);
    static boost::asio::awaitable<void> refuse(ServerExchange &exchange, Error error);

    const Settings &m_settings;
    const Clock &m_clock;
    const std::shared_ptr<ObjectStore> m_store;
    Authenticator &m_authenticator;
    LimitClient &m_limits;
    const Notice m_notice;
    JobSubmitter m_submitter;
    JobReader m_reader;
};

} // namespace pistachiofall
