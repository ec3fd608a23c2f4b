#include "fleet/promptquarantine.h"

#include "base/stablehash.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <tuple>
#include <utility>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each of these ends costs an endpoint for seconds; a single one may be a coincidence.
constexpr std::size_t EndsBeforeQuarantine = 3;
// Ends that are closer in time count as one: endpoints also end together for reasons of their own,
// such as a loss of power, and a popular part is then in use at all of them.
constexpr milliseconds MinEndDistance{400};
// So many of the ends that are close in time count as ends by the part when it is asked how many
// requests with it may still be sent.
constexpr std::size_t MaxJointEnds = 3;
// The quarantines after so many ends and after each further one, as parts of the time for which
// work may be held back. The rest is for the turns of the testers and for the run.
constexpr int FirstQuarantineDivisor = 3;
constexpr int FurtherQuarantineDivisor = 2;
// Three requests with a part that ends endpoints may reach them after the fifth end. With so many
// ends the part is not taken for sound any more.
constexpr std::size_t EndsBeforeLongQuarantine = 8;
constexpr seconds LongQuarantine{900};
// A test without an outcome for this long is no longer waited for.
constexpr milliseconds TestTimeout{3000};
// The time after which the next tester takes its turn. The outcome of a test is known by then.
constexpr milliseconds TestTurn{1500};
constexpr std::size_t MaxTestTurns = 3;
// A tester has told the others for this long that it has a request, so that not two of them test at
// once. Items have waited for longer by then; of callers' requests, a later one tests.
constexpr milliseconds AnnouncementTime{500};
// An instance wants a part for this long after it held a request with it back.
constexpr seconds WantedTtl{3};
// Peers are told again that the part is wanted before they forget it.
constexpr seconds WantedInterval{1};
// A suspect without an end for this long is forgotten.
constexpr seconds SuspectTtl{1920};
// Ends become known within these times after they happened, but for instances that were cut off.
constexpr seconds AnswerTtl{60};
constexpr seconds AnsweredEndTtl{10};
constexpr std::size_t MaxSuspects = 256;
constexpr std::size_t MaxEndsKept = 16;
constexpr std::size_t MaxReported = 16;
constexpr std::size_t MaxEndsReported = 8;

milliseconds since(SteadyTime time, SteadyTime now)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(now - time));
}

} // namespace

PromptQuarantine::PromptQuarantine(std::string instance, milliseconds holdBound)
    : m_instance(std::move(instance))
    , m_holdBound(holdBound)
{ }

std::span<const EndpointEnd> PromptQuarantine::Suspect::openEnds() const
{
    const auto isAnswered = [this](const EndpointEnd &end) {
        return answered && end.time <= *answered;
    };
    return {std::find_if_not(ends.begin(), ends.end(), isAnswered), ends.end()};
}

// The number of ends that are apart in time, or that followed each other under one request, at
// endpoints that are not explained by another part.
std::size_t PromptQuarantine::countUnexplained(const Suspect &suspect, const Endpoints &explained)
{
    std::size_t count = 0;
    SteadyTime last{};
    for (const EndpointEnd &end : suspect.openEnds()) {
        if (explained.contains(end.endpoint))
            continue;
        if (count > 0 && !end.isRepeated && end.time - last < MinEndDistance)
            continue;
        last = end.time;
        ++count;
    }
    return count;
}

// Chooses the parts that explain the ends: of those with enough ends that no other explains, the
// one that stands last in its prompts, and among equals the one with the most ends.
std::set<PromptPart> PromptQuarantine::findResponsible() const
{
    struct Rank
    {
        std::size_t depth = 0;
        std::size_t ends = 0;
        PromptPart part = 0;

        bool operator<(const Rank &other) const
        {
            return std::tie(depth, ends, part) < std::tie(other.depth, other.ends, other.part);
        }
    };
    std::set<PromptPart> responsible;
    Endpoints explained;
    for (;;) {
        std::optional<Rank> best;
        for (const auto &[part, suspect] : m_suspects) {
            const std::size_t count = countUnexplained(suspect, explained);
            if (count >= EndsBeforeQuarantine && !responsible.contains(part))
                best = std::max(best, std::optional<Rank>(Rank{suspect.depth, count, part}));
        }
        if (!best)
            break;
        responsible.insert(best->part);
        for (const EndpointEnd &end : m_suspects.at(best->part).openEnds())
            explained.insert(end.endpoint);
    }
    keepShallowest(responsible);
    return responsible;
}

// A part whose ends are all explained by parts that stand before it, and that have ends of their
// own besides, is sound as far as is known.
void PromptQuarantine::keepShallowest(std::set<PromptPart> &responsible) const
{
    std::vector<std::pair<std::size_t, PromptPart>> byDepth;
    for (const PromptPart part : responsible)
        byDepth.emplace_back(m_suspects.at(part).depth, part);
    std::sort(byDepth.begin(), byDepth.end());
    Endpoints explained;
    for (const auto &[depth, part] : byDepth) {
        const Suspect &suspect = m_suspects.at(part);
        if (countUnexplained(suspect, explained) == 0)
            responsible.erase(part);
        for (const EndpointEnd &end : suspect.openEnds())
            explained.insert(end.endpoint);
    }
}

QuarantineChange PromptQuarantine::updateQuarantined()
{
    const std::set<PromptPart> responsible = findResponsible();
    QuarantineChange change;
    for (auto &[part, suspect] : m_suspects) {
        const bool isQuarantined = responsible.contains(part);
        if (isQuarantined != suspect.isQuarantined)
            (isQuarantined ? change.added : change.removed).push_back(part);
        suspect.isQuarantined = isQuarantined;
    }
    return change;
}

// The number of endpoints that the part is taken to have ended. Of many that ended together, such
// as by a loss of power, only a few count.
std::size_t PromptQuarantine::countEnded(const Suspect &suspect)
{
    std::size_t total = 0;
    std::size_t together = 0;
    SteadyTime first{};
    for (const EndpointEnd &end : suspect.openEnds()) {
        if (together == 0 || end.time - first >= MinEndDistance) {
            together = 0;
            first = end.time;
        }
        ++together;
        total += together <= MaxJointEnds ? 1 : 0;
    }
    return total;
}

SteadyTime PromptQuarantine::quarantineEnd(const Suspect &suspect) const
{
    const SteadyTime last = suspect.openEnds().back().time;
    if (countEnded(suspect) >= EndsBeforeLongQuarantine)
        return last + LongQuarantine;
    if (countUnexplained(suspect, {}) <= EndsBeforeQuarantine)
        return last + m_holdBound / FirstQuarantineDivisor;
    return last + m_holdBound / FurtherQuarantineDivisor;
}

bool PromptQuarantine::Wanted::isRecent(SteadyTime now) const
{
    return now - time <= WantedTtl;
}

// The number of testers before a request of this instance, by the endpoints that ended under their
// requests, and among equals by a hash. That order differs from test to test, so that no instance
// is the last each time.
std::size_t PromptQuarantine::testersBefore(PromptPart part, const Suspect &suspect, int ends,
                                            SteadyTime now) const
{
    const std::string key =
            std::to_string(part) + '/' + std::to_string(suspect.openEnds().back().endpoint);
    const std::uint64_t own = rendezvousRank(key, m_instance);
    const auto count = std::count_if(
            suspect.wantedByPeers.begin(), suspect.wantedByPeers.end(), [&](const auto &each) {
                const auto &[peer, wanted] = each;
                return wanted.isRecent(now)
                        && std::tuple(wanted.ends, rendezvousRank(key, peer))
                        < std::tuple(ends, own);
            });
    const bool hasBetter =
            suspect.wanted && suspect.wanted->isRecent(now) && suspect.wanted->ends < ends;
    return static_cast<std::size_t>(count) + (hasBetter ? 1 : 0);
}

SteadyTime PromptQuarantine::mayTestFrom(PromptPart part, const Suspect &suspect, int ends,
                                         SteadyTime now) const
{
    const auto turns = std::min(testersBefore(part, suspect, ends, now), MaxTestTurns);
    const bool isAnnounced = suspect.wanted && suspect.wanted->isRecent(now);
    const SteadyTime announced = isAnnounced ? suspect.wanted->since : now;
    const SteadyTime turn =
            std::max(quarantineEnd(suspect) + TestTurn * static_cast<std::int64_t>(turns),
                     announced + AnnouncementTime);
    const bool isTestOpen = suspect.tested && suspect.openEnds().back().time <= *suspect.tested;
    return isTestOpen ? std::max(turn, *suspect.tested + TestTimeout) : turn;
}

PromptQuarantine::Suspect &PromptQuarantine::findOrAdd(PromptPart part)
{
    const auto found = m_suspects.find(part);
    if (found != m_suspects.end())
        return found->second;
    makeRoom();
    Suspect &suspect = m_suspects[part];
    suspect.answered = std::max(m_ownAnswers.find(part), m_peerAnswers.find(part));
    return suspect;
}

// Peers tell of an end with the time that it took them to do so, so the earliest time is the best.
void PromptQuarantine::addEnd(PromptPart part, std::size_t depth, const EndpointEnd &end)
{
    Suspect &suspect = findOrAdd(part);
    suspect.depth = std::max(suspect.depth, depth);
    EndpointEnd merged = end;
    std::erase_if(suspect.ends, [&merged](const EndpointEnd &known) {
        if (known.endpoint != merged.endpoint)
            return false;
        merged.time = std::min(merged.time, known.time);
        merged.isRepeated = merged.isRepeated || known.isRepeated;
        return true;
    });
    const auto isEarlier = [](const EndpointEnd &left, const EndpointEnd &right) {
        return std::tie(left.time, left.endpoint) < std::tie(right.time, right.endpoint);
    };
    const auto position =
            std::upper_bound(suspect.ends.begin(), suspect.ends.end(), merged, isEarlier);
    suspect.ends.insert(position, merged);
    if (suspect.ends.size() > MaxEndsKept)
        suspect.ends.erase(suspect.ends.begin());
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

QuarantineChange PromptQuarantine::recordEnd(const PromptParts &parts, const EndpointEnd &end)
{
    for (std::size_t depth = 0; depth < parts.size(); ++depth)
        addEnd(parts[depth], depth, end);
    return updateQuarantined();
}

QuarantineChange PromptQuarantine::recordAnswer(const PromptParts &parts, SteadyTime now)
{
    bool isSuspect = false;
    for (const PromptPart part : parts) {
        m_ownAnswers.record(part, now);
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end())
            continue;
        found->second.answered = std::max(found->second.answered, std::optional(now));
        isSuspect = true;
    }
    return isSuspect ? updateQuarantined() : QuarantineChange{};
}

std::optional<PromptPart> PromptQuarantine::findQuarantined(const PromptRequest &request,
                                                            SteadyTime now) const
{
    for (const PromptPart part : request.parts) {
        const auto found = m_suspects.find(part);
        if (found != m_suspects.end() && found->second.isQuarantined
            && now < mayTestFrom(part, found->second, request.ends, now))
            return part;
    }
    return std::nullopt;
}

std::optional<PromptPart> PromptQuarantine::admit(const PromptRequest &request, SteadyTime now)
{
    const auto quarantined = findQuarantined(request, now);
    if (quarantined)
        return quarantined;
    for (const PromptPart part : request.parts) {
        const auto found = m_suspects.find(part);
        if (found != m_suspects.end() && found->second.isQuarantined)
            found->second.tested = now;
    }
    return std::nullopt;
}

bool PromptQuarantine::isTest(const PromptParts &parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](PromptPart part) {
        const auto found = m_suspects.find(part);
        return found != m_suspects.end() && found->second.isQuarantined;
    });
}

bool PromptQuarantine::recordWanted(const PromptRequest &request, SteadyTime now)
{
    bool isNews = false;
    for (const PromptPart part : request.parts) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end() || !found->second.isQuarantined)
            continue;
        std::optional<Wanted> &wanted = found->second.wanted;
        const bool hasBetter = wanted && wanted->isRecent(now) && wanted->ends < request.ends;
        const bool isKnown =
                wanted && now - wanted->time < WantedInterval && wanted->ends == request.ends;
        if (hasBetter || isKnown)
            continue;
        const bool goesOn = wanted && wanted->isRecent(now);
        wanted = Wanted{now, request.ends, goesOn ? wanted->since : now};
        isNews = true;
    }
    return isNews;
}

milliseconds PromptQuarantine::remaining(PromptPart part, const PromptRequest &request,
                                         SteadyTime now) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end() || !found->second.isQuarantined)
        return milliseconds{0};
    return since(now, mayTestFrom(part, found->second, request.ends, now));
}

std::size_t PromptQuarantine::endsOf(PromptPart part) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end() || !found->second.isQuarantined)
        return 0;
    return countUnexplained(found->second, {});
}

std::vector<PromptPartReport> PromptQuarantine::reports(SteadyTime now) const
{
    std::vector<PromptPartReport> all;
    for (const auto &[part, suspect] : m_suspects) {
        PromptPartReport report;
        report.part = part;
        report.depth = suspect.depth;
        const auto ends = suspect.openEnds();
        for (const EndpointEnd &end : ends.last(std::min(ends.size(), MaxEndsReported)))
            report.ends.push_back({end.endpoint, since(end.time, now), end.isRepeated});
        if (const auto answered = m_ownAnswers.find(part))
            report.answeredAge = since(*answered, now);
        report.isWanted = suspect.wanted && suspect.wanted->isRecent(now);
        report.wantedEnds = report.isWanted ? suspect.wanted->ends : 0;
        all.push_back(std::move(report));
    }
    // Of the parts of one prompt, a report that has no room for all names those that stand last.
    const auto rank = [this](const PromptPartReport &report) {
        const milliseconds age = report.ends.empty()
                ? report.answeredAge.value_or(milliseconds::max())
                : report.ends.back().age;
        return std::tuple(!m_suspects.at(report.part).isQuarantined, age,
                          std::numeric_limits<std::size_t>::max() - report.depth, report.part);
    };
    std::sort(all.begin(), all.end(),
              [&rank](const PromptPartReport &left, const PromptPartReport &right) {
                  return rank(left) < rank(right);
              });
    if (all.size() > MaxReported)
        all.resize(MaxReported);
    return all;
}

QuarantineChange PromptQuarantine::recordPeer(const std::string &peer,
                                              const std::vector<PromptPartReport> &reports,
                                              SteadyTime now)
{
    for (const PromptPartReport &report : reports) {
        if (report.answeredAge)
            m_peerAnswers.record(report.part, now - *report.answeredAge);
        for (const PromptPartReport::End &end : report.ends)
            addEnd(report.part, report.depth, {end.endpoint, now - end.age, end.isRepeated});
        const auto found = m_suspects.find(report.part);
        if (found == m_suspects.end())
            continue;
        found->second.answered = std::max(found->second.answered, m_peerAnswers.find(report.part));
        if (report.isWanted)
            found->second.wantedByPeers[peer] = {now, report.wantedEnds, now};
    }
    return reports.empty() ? QuarantineChange{} : updateQuarantined();
}

void PromptQuarantine::removeExpired(SteadyTime now)
{
    m_ownAnswers.removeBefore(now - AnswerTtl);
    m_peerAnswers.removeBefore(now - AnswerTtl);
    for (auto &[part, suspect] : m_suspects) {
        const auto answeredEnds =
                static_cast<std::ptrdiff_t>(suspect.ends.size() - suspect.openEnds().size());
        if (suspect.answered && now - *suspect.answered > AnsweredEndTtl)
            suspect.ends.erase(suspect.ends.begin(), suspect.ends.begin() + answeredEnds);
        std::erase_if(suspect.wantedByPeers,
                      [now](const auto &each) { return !each.second.isRecent(now); });
    }
    const std::size_t removed = std::erase_if(m_suspects, [now](const auto &each) {
        const auto &ends = each.second.ends;
        return ends.empty() || now - ends.back().time > SuspectTtl;
    });
    if (removed > 0)
        updateQuarantined();
}

std::size_t PromptQuarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_suspects.begin(), m_suspects.end(),
                          [](const auto &each) { return each.second.isQuarantined; }));
}

} // namespace pistachiofall
