#pragma once

#include "base/result.h"
#include "base/systemclock.h"
#include "metrics/metricsregistry.h"
#include "store/objectstore.h"

#include <exception>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace pistachiofall {

/// A client of the store for commands, with blocking calls.
class StoreSession
{
public:
    static Result<std::unique_ptr<StoreSession>> create(const StoreSettings &settings);

    const std::shared_ptr<ObjectStore> &store() const { return m_store; }
    const Clock &clock() const { return m_clock; }
    boost::asio::io_context &context() { return m_context; }

    /// Runs the coroutine and blocks until it completes.
    template<typename T>
    Result<T> run(boost::asio::awaitable<Result<T>> call)
    {
        Result<T> outcome = Error{ErrorCode::Internal, "the call did not end"};
        m_context.restart();
        boost::asio::co_spawn(m_context, std::move(call),
                              [&](const std::exception_ptr &failure, Result<T> result) {
                                  if (!failure)
                                      outcome = std::move(result);
                                  m_context.stop();
                              });
        m_context.run();
        return outcome;
    }

private:
    StoreSession() = default;

    SystemClock m_clock;
    MetricsRegistry m_metrics;
    boost::asio::io_context m_context{1};
    std::shared_ptr<ObjectStore> m_store;
};

} // namespace pistachiofall
