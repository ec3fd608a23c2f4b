#pragma once

#include "http/clientmetrics.h"
#include "http/connectionpool.h"
#include "http/endpointclientsettings.h"

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall::detail {

/// What all calls of a client share.
struct ClientShared
{
    ClientShared(const boost::asio::any_io_executor &ioExecutor,
                 const EndpointClientSettings &settings, MetricsRegistry &registry)
        : executor(ioExecutor)
        , metrics(registry)
        , pool(settings, metrics.idleConnections)
        , answerBudget(settings.answerBudget)
    { }

    boost::asio::any_io_executor executor;
    ClientMetrics metrics;
    ConnectionPool pool;
    std::shared_ptr<BufferBudget> answerBudget;
};

} // namespace pistachiofall::detail
