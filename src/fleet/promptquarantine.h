#pragma once

#include "coord/coordtimes.h"
#include "fleet/promptpart.h"
#include "fleet/recentanswers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace pistachiofall {

/// An endpoint that ended while it was about to answer a request.
struct EndpointEnd
{
    /// Identifies the process of the endpoint.
    std::uint64_t endpoint = 0;
    SteadyTime time{};
    /// Whether the request had been sent before to another endpoint that ended.
    bool isRepeated = false;
};

/// What an instance tells its peers of one part. Times are relative, as clocks differ.
struct PromptPartReport
{
    struct End
    {
        std::uint64_t endpoint = 0;
        std::chrono::milliseconds age{0};
        bool isRepeated = false;
    };

    PromptPart part = 0;
    /// The position of the part in prompts, as far back as it was seen.
    std::size_t depth = 0;
    std::vector<End> ends;
    /// The time since an endpoint last answered a request with the part; nothing if none is known.
    std::optional<std::chrono::milliseconds> answeredAge;
};

/// What has changed by a record: the parts that are quarantined from now on, and those that no
/// longer are.
struct QuarantineChange
{
    PromptParts added;
    PromptParts removed;

    bool isEmpty() const { return added.empty() && removed.empty(); }
};

/// Finds the prompt parts that end each endpoint which begins to answer a request with them, and
/// decides which requests are rejected for it.
///
/// When an endpoint ends, the parts of all requests that it had not yet begun to answer are
/// suspects, and the instances tell each other theirs. A part is quarantined after several ends
/// in a row, apart in time or one after the other under the same request, with no request with it
/// answered since. Parts that stand before it in the same prompts are not quarantined for ends that
/// it explains. Requests that share other parts or the organisation are not affected: their parts
/// are answered elsewhere, which clears them. A quarantine ends after a while with one request as a
/// test, at one instance.
///
/// Which parts are quarantined follows from the ends and answers that are known, never from the
/// order in which they became known: instances that know the same decide alike.
///
/// Not thread safe.
class PromptQuarantine
{
public:
    /// Answers whether this instance is the one that tests the part when its quarantine ends.
    using IsTester = std::function<bool(PromptPart part)>;

    /// The endpoint ended before it began to answer a request with these parts.
    QuarantineChange recordEnd(const PromptParts &parts, const EndpointEnd &end);
    /// An endpoint has answered a request with these parts, at least in part.
    QuarantineChange recordAnswer(const PromptParts &parts, SteadyTime now);

    /// The part for which a request with these parts must be rejected now, if any.
    std::optional<PromptPart> findQuarantined(const PromptParts &parts, const IsTester &isTester,
                                              SteadyTime now) const;
    /// As findQuarantined(), for a request that is sent now unless a part is returned. At the end
    /// of a quarantine the tester sends one request, whose outcome decides.
    std::optional<PromptPart> admit(const PromptParts &parts, const IsTester &isTester,
                                    SteadyTime now);
    /// How long the part stays quarantined at least.
    std::chrono::milliseconds remaining(PromptPart part, SteadyTime now) const;

    /// What to tell peers: the quarantined parts, then the suspects with the newest ends. Of
    /// answers only those that this instance has seen, as the others tell theirs themselves.
    std::vector<PromptPartReport> reports(SteadyTime now) const;
    /// Takes over what a peer knows.
    QuarantineChange recordPeer(const std::vector<PromptPartReport> &reports, SteadyTime now);

    /// Forgets parts with which no endpoint has ended for a long time.
    void removeExpired(SteadyTime now);
    /// The number of suspects, and of the quarantined ones among them.
    std::size_t suspectCount() const { return m_suspects.size(); }
    std::size_t quarantinedCount() const;

private:
    struct Suspect
    {
        /// In the order of time. Those before the last answer don't count; they are kept for a
        /// while, as peers may tell of them again with a later time.
        std::vector<EndpointEnd> ends;
        std::optional<SteadyTime> answered;
        std::size_t depth = 0;

        std::span<const EndpointEnd> openEnds() const;
        bool isQuarantined = false;
        /// When the tester sent its request.
        std::optional<SteadyTime> tested;
    };

    using Endpoints = std::set<std::uint64_t>;

    static std::size_t countUnexplained(const Suspect &suspect, const Endpoints &explained);
    bool mustWait(const Suspect &suspect, SteadyTime now) const;
    SteadyTime quarantineEnd(const Suspect &suspect) const;
    Suspect &findOrAdd(PromptPart part);
    void addEnd(PromptPart part, std::size_t depth, const EndpointEnd &end);
    std::set<PromptPart> findResponsible() const;
    void keepShallowest(std::set<PromptPart> &responsible) const;
    QuarantineChange updateQuarantined();
    void makeRoom();

    std::map<PromptPart, Suspect> m_suspects;
    /// The answers seen by this instance, and those that peers have told of.
    RecentAnswers m_ownAnswers;
    RecentAnswers m_peerAnswers;
};

} // namespace pistachiofall
