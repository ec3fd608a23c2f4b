#pragma once

#include "http/bufferbudget.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace pistachiofall {

/// What the pooled connections to endpoints may use.
struct EndpointClientSettings
{
    /// For one endpoint and traffic class.
    std::size_t maxIdlePerEndpoint = 16;
    std::size_t maxIdleTotal = 2048;
    /// Below the idle timeout of common servers (5 s and more), so that the endpoint is seldom the
    /// side that closes.
    std::chrono::milliseconds maxIdleTime{4000};
    /// How often idle connections are looked through.
    std::chrono::milliseconds sweepInterval{1000};
    /// The memory for the answers that are held whole; null for no limit.
    std::shared_ptr<BufferBudget> answerBudget = nullptr;
};

} // namespace pistachiofall
