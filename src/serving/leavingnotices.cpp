#include "serving/leavingnotices.h"

#include <memory>
#include <utility>

namespace pistachiofall {

LeavingNotices::LeavingNotices(const Clock &clock, DecisionLog &log, MetricsRegistry &metrics,
                               const ServingProtocol &protocol, EndpointPool &endpoints)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_protocol(protocol)
    , m_endpoints(endpoints)
{ }

void LeavingNotices::recordResponse(const FleetEndpoint &endpoint, const AnswerHead &head,
                                    ResponseKind kind)
{
    const bool isItsOwn = kind == ResponseKind::Success || kind == ResponseKind::Failure
            || kind == ResponseKind::NotRun;
    if (isItsOwn && m_protocol.announcesLeaving(head))
        add({endpoint.id, endpoint.startedAt}, "answer");
}

void LeavingNotices::add(const EndpointIncarnation &endpoint, std::string_view source)
{
    if (!m_endpoints.markLeaving(endpoint, m_clock.now()))
        return;
    m_metrics.counter("endpoints_leaving_total").add();
    m_log.info("endpoint_leaving",
               {{"endpoint", endpoint.id}, {"started_ms", endpoint.startedAt}, {"source", source}});
    m_onChange();
}

void LeavingNotices::fillReport(wire::FleetReportT &report) const
{
    for (EndpointIncarnation &endpoint : m_endpoints.recentlyLeaving(m_clock.now())) {
        auto entry = std::make_unique<wire::LeavingEndpointT>();
        entry->endpoint = std::move(endpoint.id);
        entry->startedAt = endpoint.startedAt;
        report.leavingEndpoints.push_back(std::move(entry));
    }
}

void LeavingNotices::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    for (const auto &entry : report.leavingEndpoints)
        add({entry->endpoint, entry->startedAt}, peer);
}

} // namespace pistachiofall
