#include "serving/guardedspace.h"

#include <utility>

namespace pistachiofall {

namespace {

// Whether the error shows that the store does not answer this instance. Any other one is an answer.
bool isOutage(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::TimedOut
            || code == ErrorCode::OutcomeUnknown || code == ErrorCode::RateLimited;
}

} // namespace

GuardedSpace::GuardedSpace(std::shared_ptr<ObjectSpace> space, const Clock &clock, DecisionLog &log,
                           MetricsRegistry &metrics)
    : m_space(std::move(space))
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{ }

template<typename T>
void GuardedSpace::record(const Result<T> &result)
{
    const bool wasOpen = m_breaker.isOpen();
    if (!isOk(result) && isOutage(errorOf(result).code))
        m_breaker.recordFailure(m_clock.now());
    else
        m_breaker.recordSuccess();
    if (wasOpen == m_breaker.isOpen())
        return;
    m_metrics.gauge("store_calls_held").set(wasOpen ? 0 : 1);
    m_log.info(wasOpen ? "store_calls_resumed" : "store_calls_held",
               {{"reason", isOk(result) ? std::string("answered") : errorOf(result).message}});
}

Error GuardedSpace::openError() const
{
    return {ErrorCode::Unavailable,
            "the store does not answer; the next call is sent in "
                    + std::to_string(m_breaker.timeToNextCall(m_clock.now()).count()) + " ms"};
}

template<typename T, typename Call>
ObjectSpace::Async<T> GuardedSpace::guard(Call call)
{
    if (!m_breaker.allowCall(m_clock.now())) {
        m_metrics.counter("store_calls_not_sent_total").add();
        co_return openError();
    }
    Result<T> result = co_await call();
    record(result);
    co_return result;
}

ObjectSpace::Async<SpaceObject> GuardedSpace::get(std::string kind, std::string name)
{
    const auto call = [&] { return m_space->get(std::move(kind), std::move(name)); };
    co_return co_await guard<SpaceObject>(call);
}

ObjectSpace::Async<SpaceObject> GuardedSpace::create(std::string kind, SpaceObject object)
{
    const auto call = [&] { return m_space->create(std::move(kind), std::move(object)); };
    co_return co_await guard<SpaceObject>(call);
}

ObjectSpace::Async<SpaceObject> GuardedSpace::replaceSpec(std::string kind, SpaceObject object)
{
    const auto call = [&] { return m_space->replaceSpec(std::move(kind), std::move(object)); };
    co_return co_await guard<SpaceObject>(call);
}

ObjectSpace::Async<SpaceObject> GuardedSpace::replaceStatus(std::string kind, SpaceObject object)
{
    const auto call = [&] { return m_space->replaceStatus(std::move(kind), std::move(object)); };
    co_return co_await guard<SpaceObject>(call);
}

ObjectSpace::Async<Done> GuardedSpace::remove(std::string kind, std::string name)
{
    const auto call = [&] { return m_space->remove(std::move(kind), std::move(name)); };
    co_return co_await guard<Done>(call);
}

ObjectSpace::Async<SpaceListing> GuardedSpace::list(std::string kind, std::string after,
                                                    Freshness freshness)
{
    const auto call = [&] { return m_space->list(std::move(kind), std::move(after), freshness); };
    co_return co_await guard<SpaceListing>(call);
}

ObjectSpace::Async<SpaceChanges> GuardedSpace::watch(std::string kind, std::uint64_t revision,
                                                     std::chrono::milliseconds wait)
{
    auto changes = co_await m_space->watch(std::move(kind), revision, wait);
    if (isOk(changes))
        record(changes);
    co_return changes;
}

ObjectSpace::Async<SpaceChanges> GuardedSpace::changes(std::string kind, std::uint64_t revision,
                                                       std::chrono::milliseconds timeout)
{
    auto found = co_await m_space->changes(std::move(kind), revision, timeout);
    if (isOk(found))
        record(found);
    co_return found;
}

} // namespace pistachiofall
