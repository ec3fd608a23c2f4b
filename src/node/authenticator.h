#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "http/httpheaders.h"
#include "metrics/metricsregistry.h"
#include "node/coordination.h"
#include "rules/keyrule.h"

namespace pistachiofall {

/// Tells which organisation a request runs for. Thread safe.
class Authenticator
{
public:
    Authenticator(const Clock &clock, MetricsRegistry &metrics, Coordination &coordination);

    /// The rule of the key in the Authorization header. Unauthenticated without a valid key;
    /// Isolated when this instance can not know whether the key has been withdrawn.
    Result<KeyRule> authenticate(const HttpHeaders &headers);

    /// Whether a key that was accepted before still is, with the same errors. A body may take
    /// longer to arrive than a withdrawal takes to be in force.
    Result<Done> recheck(const KeyRule &key);

private:
    Result<Done> checkContact();

    const Clock &m_clock;
    Coordination &m_coordination;
    Counter &m_rejected;
    Counter &m_isolated;
};

} // namespace pistachiofall
