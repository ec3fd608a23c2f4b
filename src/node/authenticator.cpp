#include "node/authenticator.h"

#include "rules/keycheck.h"

#include <string_view>

namespace pistachiofall {

Authenticator::Authenticator(const Clock &clock, MetricsRegistry &metrics,
                             Coordination &coordination)
    : m_clock(clock)
    , m_coordination(coordination)
    , m_rejected(metrics.counter("auth_rejected_total", {{"reason", "key"}}))
    , m_isolated(metrics.counter("auth_rejected_total", {{"reason", "isolated"}}))
{ }

Result<KeyRule> Authenticator::authenticate(const HttpHeaders &headers)
{
    const auto contact = checkContact();
    if (!isOk(contact))
        return errorOf(contact);
    constexpr std::string_view Scheme = "Bearer ";
    const std::string_view value = headers.get("Authorization");
    if (value.size() <= Scheme.size()
        || !equalsIgnoringCase(value.substr(0, Scheme.size()), Scheme)) {
        m_rejected.add();
        return Error{ErrorCode::Unauthenticated,
                     "the request needs a header 'Authorization: Bearer KEY'"};
    }
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const auto key = checkKey(*rules, value.substr(Scheme.size()));
    if (!isOk(key)) {
        m_rejected.add();
        return errorOf(key);
    }
    return *valueOf(key);
}

Result<Done> Authenticator::recheck(const KeyRule &key)
{
    const auto contact = checkContact();
    if (!isOk(contact))
        return errorOf(contact);
    if (isKeyStillValid(*m_coordination.rules().rules(), key))
        return Done{};
    m_rejected.add();
    return Error{ErrorCode::Unauthenticated, "the key has been withdrawn"};
}

Result<Done> Authenticator::checkContact()
{
    if (!m_coordination.isIsolated(m_clock.now()))
        return Done{};
    m_isolated.add();
    return Error{ErrorCode::Isolated,
                 "this instance has lost contact and can not check keys; try another one"};
}

} // namespace pistachiofall
