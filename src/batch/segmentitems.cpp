#include "batch/segmentitems.h"

#include "batch/rawjson.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>
#include <variant>

namespace pistachiofall {

namespace {

constexpr const char *OutcomeUnknownCode = "outcome_unknown";

} // namespace

SegmentItems::SegmentItems(std::vector<bool> isIdempotent, const SegmentRunSettings &settings,
                           std::uint64_t seed)
    : m_settings(settings)
    , m_retryBackoff(settings.firstRetryDelay, settings.maxRetryDelay)
    , m_refusalBackoff(settings.firstRefusalDelay, settings.maxRefusalDelay)
    , m_random(seed)
    , m_items(isIdempotent.size())
{
    for (std::uint32_t item = 0; item < m_items.size(); ++item) {
        m_items[item].isIdempotent = isIdempotent[item];
        m_waiting.emplace(m_items[item].notBefore, item);
    }
}

void SegmentItems::restore(const Progress &stored)
{
    m_waiting.clear();
    m_marked.clear();
    m_durableMarks.clear();
    m_running = 0;
    m_done = 0;
    for (std::uint32_t item = 0; item < m_items.size(); ++item) {
        const bool isIdempotent = m_items[item].isIdempotent;
        m_items[item] = Item{};
        m_items[item].isIdempotent = isIdempotent;
        m_waiting.emplace(m_items[item].notBefore, item);
    }
    m_results = stored.results;
    m_parts = stored.parts;
    ++m_generation;
    for (const auto &[item, result] : stored.results)
        setDone(item);
    for (const ResultPart &part : stored.parts) {
        for (const std::uint32_t item : part.items)
            setDone(item);
    }
    for (const std::uint32_t item : stored.started)
        finishWithUnknownOutcome(
                item, "the instance that ran the item ended before it stored an outcome");
}

std::optional<std::uint32_t> SegmentItems::startNext(TimePoint now)
{
    const auto end = m_waiting.upper_bound({now, static_cast<std::uint32_t>(m_items.size())});
    const auto found = std::find_if(m_waiting.begin(), end, [this](const auto &entry) {
        return m_items[entry.second].isIdempotent || m_durableMarks.contains(entry.second);
    });
    if (found == end)
        return std::nullopt;
    const std::uint32_t item = found->second;
    m_waiting.erase(found);
    m_items[item].state = State::Running;
    ++m_running;
    return item;
}

void SegmentItems::onOutcome(std::uint32_t item, const ItemOutcome &outcome, TimePoint now)
{
    if (m_items[item].state != State::Running)
        return;
    std::visit([&](const auto &alternative) { apply(item, alternative, now); }, outcome);
}

void SegmentItems::apply(std::uint32_t item, const ItemAnswer &outcome, TimePoint)
{
    ResultBody body{outcome.body, batch::detail::isJson(outcome.body)};
    finish(item, {outcome.status, std::move(body)});
}

void SegmentItems::apply(std::uint32_t item, const ItemRetryable &outcome, TimePoint now)
{
    Item &entry = m_items[item];
    ++entry.attempts;
    if (!entry.isIdempotent || entry.attempts >= m_settings.maxAttempts) {
        finish(item, {outcome.status, ResultError{outcome.code, outcome.message}});
        return;
    }
    // The fixed half guarantees a minimum delay before the next attempt.
    const auto delay = m_retryBackoff.delay(entry.attempts, m_random());
    waitUntil(item, now + m_settings.firstRetryDelay / 2 + delay / 2);
}

void SegmentItems::apply(std::uint32_t item, const ItemFailed &outcome, TimePoint)
{
    finish(item, {outcome.status, ResultError{outcome.code, outcome.message}});
}

void SegmentItems::apply(std::uint32_t item, const ItemRevoked &, TimePoint now)
{
    if (m_items[item].isIdempotent)
        waitUntil(item, now + m_settings.firstRefusalDelay);
    else
        finishWithUnknownOutcome(item, "the item was stopped after it was sent");
}

void SegmentItems::apply(std::uint32_t item, const ItemNotRun &, TimePoint now)
{
    // The item has to be marked again, and the mark confirmed by a write, before the next start.
    m_marked.erase(item);
    m_durableMarks.erase(item);
    const auto delay = m_refusalBackoff.delay(++m_items[item].refusals, m_random());
    waitUntil(item, now + m_settings.firstRefusalDelay / 2 + delay / 2);
}

void SegmentItems::apply(std::uint32_t item, const ItemOutcomeUnknown &outcome, TimePoint now)
{
    if (m_items[item].isIdempotent)
        apply(item, ItemRetryable{0, OutcomeUnknownCode, outcome.message}, now);
    else
        finishWithUnknownOutcome(item, outcome.message);
}

void SegmentItems::mark(std::size_t count, TimePoint now)
{
    auto ahead =
            static_cast<std::size_t>(std::ranges::count_if(m_marked, [this](std::uint32_t item) {
                return m_items[item].state == State::Waiting;
            }));
    count = std::min(count, m_settings.maxMarkedAhead);
    for (const auto &[notBefore, item] : m_waiting) {
        if (notBefore > now || ahead >= count)
            return;
        if (!m_items[item].isIdempotent && m_marked.insert(item).second)
            ++ahead;
    }
}

void SegmentItems::moveToPart(const ResultPart &part)
{
    for (const std::uint32_t item : part.items)
        m_results.erase(item);
    m_parts.push_back(part);
    ++m_generation;
}

std::set<std::uint32_t> SegmentItems::startedAndRunning() const
{
    std::set<std::uint32_t> running(m_marked);
    std::erase_if(running,
                  [this](std::uint32_t item) { return m_items[item].state != State::Running; });
    return running;
}

bool SegmentItems::hasUnstoredMarks() const
{
    return !std::includes(m_durableMarks.begin(), m_durableMarks.end(), m_marked.begin(),
                          m_marked.end());
}

void SegmentItems::onStored(const std::set<std::uint32_t> &marks)
{
    // A mark that was withdrawn while the write was in flight will be missing from the next write,
    // so it is not durable.
    m_durableMarks.clear();
    std::set_intersection(marks.begin(), marks.end(), m_marked.begin(), m_marked.end(),
                          std::inserter(m_durableMarks, m_durableMarks.end()));
}

std::size_t SegmentItems::waitingCount(TimePoint now) const
{
    const auto end = m_waiting.upper_bound({now, static_cast<std::uint32_t>(m_items.size())});
    return static_cast<std::size_t>(std::distance(m_waiting.begin(), end));
}

void SegmentItems::waitUntil(std::uint32_t item, TimePoint notBefore)
{
    m_items[item].state = State::Waiting;
    m_items[item].notBefore = notBefore;
    m_waiting.emplace(notBefore, item);
    --m_running;
}

void SegmentItems::finish(std::uint32_t item, ItemResult result)
{
    m_results.emplace(item, std::make_shared<const ItemResult>(std::move(result)));
    ++m_generation;
    setDone(item);
}

void SegmentItems::finishWithUnknownOutcome(std::uint32_t item, const std::string &message)
{
    finish(item, {0, ResultError{OutcomeUnknownCode, message}});
}

void SegmentItems::setDone(std::uint32_t item)
{
    Item &entry = m_items[item];
    if (entry.state == State::Done)
        return;
    if (entry.state == State::Running)
        --m_running;
    else
        m_waiting.erase({entry.notBefore, item});
    entry.state = State::Done;
    m_marked.erase(item);
    ++m_done;
}

} // namespace pistachiofall
