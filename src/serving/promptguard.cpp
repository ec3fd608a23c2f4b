#include "serving/promptguard.h"

#include "base/stablehash.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

namespace pistachiofall {

using std::chrono::milliseconds;

namespace {

constexpr int MaxWantedEnds = std::numeric_limits<std::uint8_t>::max();
constexpr std::uint32_t NeverAnswered = std::numeric_limits<std::uint32_t>::max();

std::string toText(PromptPart part)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, part);
    return text.data();
}

std::uint32_t encodeAge(milliseconds age)
{
    return static_cast<std::uint32_t>(std::min<std::int64_t>(age.count(), NeverAnswered - 1));
}

std::uint64_t identify(const FleetEndpoint &endpoint)
{
    return stableHash(endpoint.id + '/' + std::to_string(endpoint.startedAt));
}

} // namespace

PromptGuard::PromptGuard(std::string instance, milliseconds holdBound, const Clock &clock,
                         DecisionLog &log, MetricsRegistry &metrics)
    : m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_quarantine(std::move(instance), holdBound)
{ }

// Returns the time after which to try again.
milliseconds PromptGuard::reject(const PromptRequest &request, PromptPart part)
{
    const auto now = m_clock.bootNow();
    const bool isNews = m_quarantine.recordWanted(request, now);
    const milliseconds wait = m_quarantine.remaining(part, request, now);
    if (isNews) {
        m_log.info("prompt_part_held",
                   {{"part", toText(part)},
                    {"ends", std::uint64_t{m_quarantine.endsOf(part)}},
                    {"own_ends", request.ends},
                    {"wait_ms", std::int64_t{wait.count()}}});
        m_onChange();
    }
    return wait;
}

std::optional<milliseconds> PromptGuard::findRejection(const PromptRequest &request)
{
    const auto part = m_quarantine.findQuarantined(request, m_clock.bootNow());
    if (!part)
        return std::nullopt;
    return reject(request, *part);
}

std::optional<milliseconds> PromptGuard::admit(const std::string &requestId,
                                               const PromptRequest &request)
{
    const bool isTest = m_quarantine.isTest(request.parts);
    const auto part = m_quarantine.admit(request, m_clock.bootNow());
    if (!part) {
        if (isTest)
            m_log.info("prompt_tested", {{"request", requestId}});
        return std::nullopt;
    }
    m_metrics.counter("prompts_rejected_total").add();
    m_log.warning("prompt_rejected", {{"request", requestId}, {"part", toText(*part)}});
    return reject(request, *part);
}

void PromptGuard::endpointEnded(const std::string &requestId, const PromptParts &parts,
                                const FleetEndpoint &endpoint, bool isRepeated)
{
    if (parts.empty())
        return;
    for (const PromptPart part : parts)
        m_log.info("prompt_part_suspected",
                   {{"request", requestId}, {"endpoint", endpoint.id}, {"part", toText(part)}});
    logChange(m_quarantine.recordEnd(parts, {identify(endpoint), m_clock.bootNow(), isRepeated}),
              "own");
    m_onChange();
}

void PromptGuard::answered(const PromptParts &parts)
{
    const QuarantineChange change = m_quarantine.recordAnswer(parts, m_clock.bootNow());
    logChange(change, "own");
    if (!change.isEmpty())
        m_onChange();
}

void PromptGuard::logChange(const QuarantineChange &change, std::string_view source)
{
    for (const PromptPart part : change.added)
        m_log.warning("prompt_part_quarantined", {{"part", toText(part)}, {"source", source}});
    for (const PromptPart part : change.removed)
        m_log.info("prompt_part_cleared", {{"part", toText(part)}, {"source", source}});
}

void PromptGuard::fillReport(wire::FleetReportT &report) const
{
    for (const PromptPartReport &part : m_quarantine.reports(m_clock.bootNow())) {
        auto entry = std::make_unique<wire::PromptPartMarkT>();
        entry->part = part.part;
        entry->depth = static_cast<std::uint16_t>(part.depth);
        entry->isWanted = part.isWanted;
        entry->wantedEnds = static_cast<std::uint8_t>(std::min(part.wantedEnds, MaxWantedEnds));
        entry->answeredAgeMs = part.answeredAge ? encodeAge(*part.answeredAge) : NeverAnswered;
        for (const PromptPartReport::End &end : part.ends)
            entry->ends.emplace_back(end.endpoint, encodeAge(end.age), end.isRepeated);
        report.promptParts.push_back(std::move(entry));
    }
}

void PromptGuard::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    std::vector<PromptPartReport> parts;
    for (const auto &entry : report.promptParts) {
        PromptPartReport part;
        part.part = entry->part;
        part.depth = entry->depth;
        part.isWanted = entry->isWanted;
        part.wantedEnds = entry->wantedEnds;
        if (entry->answeredAgeMs != NeverAnswered)
            part.answeredAge = milliseconds{entry->answeredAgeMs};
        for (const wire::EndpointEndMark &end : entry->ends)
            part.ends.push_back({end.endpoint(), milliseconds{end.ageMs()}, end.isRepeated()});
        parts.push_back(std::move(part));
    }
    logChange(m_quarantine.recordPeer(peer, parts, m_clock.bootNow()), peer);
}

void PromptGuard::updateMetrics()
{
    m_metrics.gauge("prompt_parts_suspected")
            .set(static_cast<std::int64_t>(m_quarantine.suspectCount()));
    m_metrics.gauge("prompt_parts_quarantined")
            .set(static_cast<std::int64_t>(m_quarantine.quarantinedCount()));
}

} // namespace pistachiofall
