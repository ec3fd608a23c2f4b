#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/fleetendpoint.h"
#include "fleet/promptquarantine.h"
#include "metrics/metricsregistry.h"
#include "wire/messages.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pistachiofall {

/// Keeps requests away from endpoints whose prompts hold a part that ends endpoints, and shares
/// what it learns with the other instances. Not thread safe.
class PromptGuard
{
public:
    /// An endpoint that has sent this many events has not ended at the beginning of its answer.
    static constexpr int AnsweredEvents = 3;

    /// The instance is the name of this one. Work that can be done is not held back for longer than
    /// the bound.
    PromptGuard(std::string instance, std::chrono::milliseconds holdBound, const Clock &clock,
                DecisionLog &log, MetricsRegistry &metrics);

    /// Sets what is called when there is news for the peers.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }

    /// If the request is rejected now, the time after which to try again.
    std::optional<std::chrono::milliseconds> findRejection(const PromptRequest &request);
    /// As findRejection(), directly before the request is sent.
    std::optional<std::chrono::milliseconds> admit(const std::string &requestId,
                                                   const PromptRequest &request);
    /// Whether a request with these parts, if it is sent, tests one of them. Its outcome is waited
    /// for by others.
    bool isTest(const PromptParts &parts) const { return m_quarantine.isTest(parts); }

    /// The connection to the endpoint broke before it had begun to answer the request. isRepeated
    /// tells that the same request met this at another endpoint before.
    void endpointEnded(const std::string &requestId, const PromptParts &parts,
                       const FleetEndpoint &endpoint, bool isRepeated);
    /// The endpoint has begun to answer a request with these parts, or has answered it.
    void answered(const PromptParts &parts);

    void fillReport(wire::FleetReportT &report) const;
    void handleReport(const std::string &peer, const wire::FleetReportT &report);
    /// Forgets what is old. To be called periodically.
    void tick() { m_quarantine.removeExpired(m_clock.bootNow()); }
    /// Sets the gauges of the suspects.
    void updateMetrics();

private:
    std::chrono::milliseconds reject(const PromptRequest &request, PromptPart part);
    void logChange(const QuarantineChange &change, std::string_view source);

    /// Asked for times with those in which the machine was suspended: a part is not held back for
    /// longer because of them.
    const Clock &m_clock;
    DecisionLog &m_log;
    MetricsRegistry &m_metrics;
    std::function<void()> m_onChange;
    PromptQuarantine m_quarantine;
};

} // namespace pistachiofall
