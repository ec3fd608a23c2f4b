#include "fleet/promptquarantine.h"

#include <algorithm>
#include <tuple>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each of these ends costs an endpoint for seconds; a single one may be a coincidence.
constexpr std::size_t EndsBeforeQuarantine = 3;
// Ends that are closer in time count as one: endpoints also end together for reasons of their own,
// such as a loss of power, and a popular part is then in use at all of them.
constexpr milliseconds MinEndDistance{400};
// The quarantine doubles with each failed test.
constexpr seconds FirstQuarantine{60};
constexpr int MaxDoublings = 4;
constexpr seconds TestTimeout{10};
// A suspect without an end for this long is forgotten.
constexpr seconds SuspectTtl{FirstQuarantine * (2 << MaxDoublings)};
constexpr std::size_t MaxSuspects = 256;
constexpr std::size_t MaxEndsKept = 8;
constexpr std::size_t MaxReported = 16;

milliseconds since(SteadyTime time, SteadyTime now)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(now - time));
}

} // namespace

// The number of ends that are apart in time, or that followed each other under one request, at
// endpoints that are not explained by another part.
std::size_t PromptQuarantine::countUnexplained(const Suspect &suspect, const Endpoints &explained)
{
    std::size_t count = 0;
    SteadyTime last{};
    for (const EndpointEnd &end : suspect.ends) {
        if (explained.contains(end.endpoint))
            continue;
        if (count > 0 && !end.isRepeated && end.time - last < MinEndDistance)
            continue;
        last = end.time;
        ++count;
    }
    return count;
}

// Chooses the parts that explain the ends, those first that explain most and stand last in their
// prompts, and keeps those chosen before. Returns the new ones.
PromptParts PromptQuarantine::updateQuarantined()
{
    PromptParts added;
    Endpoints explained;
    std::set<PromptPart> chosen;
    for (;;) {
        using Rank = std::tuple<bool, std::size_t, std::size_t, PromptPart>;
        Rank best{};
        Suspect *bestSuspect = nullptr;
        for (auto &[part, suspect] : m_suspects) {
            if (chosen.contains(part))
                continue;
            const auto count =
                    countUnexplained(suspect, suspect.isQuarantined ? Endpoints{} : explained);
            const Rank rank{suspect.isQuarantined, count, suspect.depth, part};
            if (count < EndsBeforeQuarantine || (bestSuspect != nullptr && rank < best))
                continue;
            best = rank;
            bestSuspect = &suspect;
        }
        if (bestSuspect == nullptr)
            break;
        const PromptPart part = std::get<3>(best);
        if (!bestSuspect->isQuarantined)
            added.push_back(part);
        bestSuspect->isQuarantined = true;
        chosen.insert(part);
        for (const EndpointEnd &end : bestSuspect->ends)
            explained.insert(end.endpoint);
    }
    for (auto &[part, suspect] : m_suspects)
        suspect.isQuarantined = chosen.contains(part);
    return added;
}

SteadyTime PromptQuarantine::quarantineEnd(const Suspect &suspect) const
{
    const auto further = countUnexplained(suspect, {}) - EndsBeforeQuarantine;
    const auto doublings = std::min<std::size_t>(further, MaxDoublings);
    return suspect.ends.back().time + FirstQuarantine * (1U << doublings);
}

bool PromptQuarantine::mustWait(const Suspect &suspect, SteadyTime now) const
{
    return now < quarantineEnd(suspect) || (suspect.tested && now - *suspect.tested < TestTimeout);
}

void PromptQuarantine::addEnd(PromptPart part, std::size_t depth, const EndpointEnd &end)
{
    if (!m_suspects.contains(part))
        makeRoom();
    Suspect &suspect = m_suspects[part];
    suspect.depth = std::max(suspect.depth, depth);
    const bool isKnown =
            std::any_of(suspect.ends.begin(), suspect.ends.end(),
                        [&end](const EndpointEnd &each) { return each.endpoint == end.endpoint; });
    if (isKnown || (suspect.answered && end.time <= *suspect.answered))
        return;
    const auto position = std::upper_bound(suspect.ends.begin(), suspect.ends.end(), end,
                                           [](const EndpointEnd &left, const EndpointEnd &right) {
                                               return left.time < right.time;
                                           });
    suspect.ends.insert(position, end);
    if (suspect.ends.size() > MaxEndsKept)
        suspect.ends.erase(suspect.ends.begin());
    suspect.tested.reset();
}

// The suspect whose last end is the oldest makes room for a new one.
void PromptQuarantine::makeRoom()
{
    if (m_suspects.size() < MaxSuspects)
        return;
    const auto lastEnd = [](const Suspect &suspect) {
        return suspect.ends.empty() ? SteadyTime{} : suspect.ends.back().time;
    };
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
                                         [&lastEnd](const auto &left, const auto &right) {
                                             return lastEnd(left.second) < lastEnd(right.second);
                                         });
    m_suspects.erase(oldest);
}

PromptParts PromptQuarantine::recordEnd(const PromptParts &parts, const EndpointEnd &end)
{
    for (std::size_t depth = 0; depth < parts.size(); ++depth)
        addEnd(parts[depth], depth, end);
    return updateQuarantined();
}

PromptParts PromptQuarantine::recordAnswer(const PromptParts &parts, SteadyTime now)
{
    PromptParts cleared;
    for (const PromptPart part : parts) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end())
            continue;
        Suspect &suspect = found->second;
        if (suspect.isQuarantined)
            cleared.push_back(part);
        suspect.answered = now;
        suspect.ends.clear();
        suspect.isQuarantined = false;
        suspect.tested.reset();
    }
    return cleared;
}

std::optional<PromptPart> PromptQuarantine::findQuarantined(const PromptParts &parts,
                                                            const IsTester &isTester,
                                                            SteadyTime now) const
{
    for (const PromptPart part : parts) {
        const auto found = m_suspects.find(part);
        if (found != m_suspects.end() && found->second.isQuarantined
            && (mustWait(found->second, now) || !isTester(part)))
            return part;
    }
    return std::nullopt;
}

std::optional<PromptPart> PromptQuarantine::admit(const PromptParts &parts,
                                                  const IsTester &isTester, SteadyTime now)
{
    const auto quarantined = findQuarantined(parts, isTester, now);
    if (quarantined)
        return quarantined;
    for (const PromptPart part : parts) {
        const auto found = m_suspects.find(part);
        if (found != m_suspects.end() && found->second.isQuarantined)
            found->second.tested = now;
    }
    return std::nullopt;
}

milliseconds PromptQuarantine::remaining(PromptPart part, SteadyTime now) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end() || !found->second.isQuarantined)
        return milliseconds{0};
    return since(now, quarantineEnd(found->second));
}

std::vector<PromptPartReport> PromptQuarantine::reports(SteadyTime now) const
{
    std::vector<PromptPartReport> all;
    for (const auto &[part, suspect] : m_suspects) {
        PromptPartReport report;
        report.part = part;
        report.depth = suspect.depth;
        for (const EndpointEnd &end : suspect.ends)
            report.ends.push_back({end.endpoint, since(end.time, now), end.isRepeated});
        if (suspect.answered)
            report.answeredAge = since(*suspect.answered, now);
        all.push_back(std::move(report));
    }
    const auto age = [](const PromptPartReport &report) {
        return report.ends.empty() ? report.answeredAge.value_or(milliseconds::max())
                                   : report.ends.back().age;
    };
    std::sort(all.begin(), all.end(),
              [&age](const PromptPartReport &left, const PromptPartReport &right) {
                  return age(left) < age(right);
              });
    if (all.size() > MaxReported)
        all.resize(MaxReported);
    return all;
}

PromptParts PromptQuarantine::recordPeer(const PromptPartReport &report, SteadyTime now)
{
    const auto found = m_suspects.find(report.part);
    if (report.answeredAge && found != m_suspects.end()) {
        Suspect &suspect = found->second;
        const SteadyTime answered = now - *report.answeredAge;
        suspect.answered = std::max(suspect.answered.value_or(answered), answered);
        std::erase_if(suspect.ends,
                      [&suspect](const EndpointEnd &end) { return end.time <= *suspect.answered; });
    }
    for (const PromptPartReport::End &end : report.ends)
        addEnd(report.part, report.depth, {end.endpoint, now - end.age, end.isRepeated});
    return updateQuarantined();
}

void PromptQuarantine::removeExpired(SteadyTime now)
{
    std::erase_if(m_suspects, [now](const auto &each) {
        const Suspect &suspect = each.second;
        const SteadyTime newest =
                suspect.ends.empty() ? suspect.answered.value_or(now) : suspect.ends.back().time;
        const auto ttl = suspect.ends.empty() ? TestTimeout : SuspectTtl;
        return now - newest > ttl;
    });
}

std::size_t PromptQuarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_suspects.begin(), m_suspects.end(),
                          [](const auto &each) { return each.second.isQuarantined; }));
}

} // namespace pistachiofall
