#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/circuitbreaker.h"
#include "metrics/metricsregistry.h"
#include "store/objectspace.h"

#include <memory>
#include <string>

namespace pistachiofall {

/// An object space that fails calls at once while the store is down: with Unavailable, as they have
/// certainly had no effect. Watches are always sent, because they are few and each one has its own
/// backoff. Not thread safe.
class GuardedSpace final : public ObjectSpace
{
public:
    GuardedSpace(std::shared_ptr<ObjectSpace> space, const Clock &clock, DecisionLog &log,
                 MetricsRegistry &metrics);

    Async<SpaceObject> get(std::string kind, std::string name) override;
    Async<SpaceObject> create(std::string kind, SpaceObject object) override;
    Async<SpaceObject> replaceSpec(std::string kind, SpaceObject object) override;
    Async<SpaceObject> replaceStatus(std::string kind, SpaceObject object) override;
    Async<Done> remove(std::string kind, std::string name) override;
    Async<SpaceListing> list(std::string kind, std::string after, Freshness freshness) override;
    Async<SpaceChanges> watch(std::string kind, std::uint64_t revision,
                              std::chrono::milliseconds wait) override;
    Async<SpaceChanges> changes(std::string kind, std::uint64_t revision,
                                std::chrono::milliseconds timeout) override;

private:
    template<typename T, typename Call>
    Async<T> guard(Call call);
    template<typename T>
    void record(const Result<T> &result);
    Error openError() const;

    std::shared_ptr<ObjectSpace> m_space;
    const Clock &m_clock;
    DecisionLog &m_log;
    MetricsRegistry &m_metrics;
    CircuitBreaker m_breaker;
};

} // namespace pistachiofall
