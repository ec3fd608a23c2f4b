#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointpool.h"
#include "http/answerhead.h"
#include "metrics/metricsregistry.h"
#include "serving/responsekind.h"
#include "serving/servingprotocol.h"
#include "wire/messages.h"

#include <functional>
#include <string>

namespace pistachiofall {

/// Takes endpoints that announce in an answer that they leave out of the pool, and shares the
/// announcements with the other instances. Not thread safe.
class LeavingNotices
{
public:
    LeavingNotices(const Clock &clock, DecisionLog &log, MetricsRegistry &metrics,
                   const ServingProtocol &protocol, EndpointPool &endpoints);

    /// Called with each announcement that is news.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }

    /// An endpoint has sent a response of the kind. Responses that may be another process's count
    /// for nothing.
    void recordResponse(const FleetEndpoint &endpoint, const AnswerHead &head, ResponseKind kind);

    void fillReport(wire::FleetReportT &report) const;
    void handleReport(const std::string &peer, const wire::FleetReportT &report);

private:
    void add(const EndpointIncarnation &endpoint, std::string_view source);

    const Clock &m_clock;
    DecisionLog &m_log;
    MetricsRegistry &m_metrics;
    const ServingProtocol &m_protocol;
    EndpointPool &m_endpoints;
    std::function<void()> m_onChange;
};

} // namespace pistachiofall
