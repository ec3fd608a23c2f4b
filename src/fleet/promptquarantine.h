#pragma once

#include "coord/coordtimes.h"
#include "fleet/promptpart.h"
#include "fleet/recentanswers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
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
    /// Whether the sender has requests with the part that it may not send, and the fewest endpoints
    /// that ended under one of them.
    bool isWanted = false;
    int wantedEnds = 0;
};

/// A request as far as its prompt decides on it.
struct PromptRequest
{
    const PromptParts &parts;
    /// The endpoints that ended in a row before they answered this request.
    int ends = 0;
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
/// are answered elsewhere, which clears them.
///
/// A quarantine ends after a while with one request as a test. The instances that hold requests
/// with the part back tell each other so and test it in turn, so that each test is made by one that
/// has something to send, and by the next one soon if the first does not come to it. A request
/// under which fewer endpoints have ended comes first: should another part of the others' prompts
/// be to blame, it is the one that shows this part to be sound.
///
/// Two bounds hold. Work that can be done waits for a test for less than the hold bound, however
/// many endpoints have ended. And of requests with a part that ends each endpoint, three are sent
/// after the fifth end. Tests at intervals of half the bound, the first of them after the third
/// end, keep both until the eighth end, when the part is not taken for sound any
/// more. An instance tells the others of its request some time before it tests, so that no two of
/// them test at once.
///
/// Which parts are quarantined follows from the ends and answers that are known, never from the
/// order in which they became known: instances that know the same decide alike.
///
/// Not thread safe.
class PromptQuarantine
{
public:
    static constexpr std::chrono::seconds DefaultHoldBound{18};

    /// The instance is the name of this one. Work that can be done is not held back for longer than
    /// the bound.
    explicit PromptQuarantine(std::string instance,
                              std::chrono::milliseconds holdBound = DefaultHoldBound);

    /// The name of this instance.
    const std::string &instance() const { return m_instance; }

    /// The endpoint ended before it began to answer a request with these parts.
    QuarantineChange recordEnd(const PromptParts &parts, const EndpointEnd &end);
    /// An endpoint has answered a request with these parts, at least in part.
    QuarantineChange recordAnswer(const PromptParts &parts, SteadyTime now);

    /// The part for which a request with these parts must be rejected now, if any.
    std::optional<PromptPart> findQuarantined(const PromptRequest &request, SteadyTime now) const;
    /// As findQuarantined(), for a request that is sent now unless a part is returned. At the end
    /// of a quarantine one request is sent, whose outcome decides.
    std::optional<PromptPart> admit(const PromptRequest &request, SteadyTime now);
    /// Whether a request with these parts, if it is sent, is a test.
    bool isTest(const PromptParts &parts) const;
    /// A request with these parts is held back, or has been rejected. Returns whether peers are to
    /// be told.
    bool recordWanted(const PromptRequest &request, SteadyTime now);
    /// How long this instance does not send the request at least, for the part.
    std::chrono::milliseconds remaining(PromptPart part, const PromptRequest &request,
                                        SteadyTime now) const;
    /// The number of ends of endpoints in a row for which the part is quarantined; 0 if it is not.
    std::size_t endsOf(PromptPart part) const;

    /// What to tell peers: the quarantined parts, then the suspects with the newest ends. Of
    /// answers only those that this instance has seen, as the others tell theirs themselves.
    std::vector<PromptPartReport> reports(SteadyTime now) const;
    /// Takes over what a peer knows.
    QuarantineChange recordPeer(const std::string &peer,
                                const std::vector<PromptPartReport> &reports, SteadyTime now);

    /// Forgets parts with which no endpoint has ended for a long time.
    void removeExpired(SteadyTime now);
    /// The number of suspects, and of the quarantined ones among them.
    std::size_t suspectCount() const { return m_suspects.size(); }
    std::size_t quarantinedCount() const;

private:
    struct Wanted
    {
        SteadyTime time{};
        /// The fewest endpoints that ended under one of the requests.
        int ends = 0;
        /// Since when there has been such a request all the while.
        SteadyTime since{};

        bool isRecent(SteadyTime now) const;
    };

    struct Suspect
    {
        /// In the order of time. Those before the last answer don't count; they are kept for a
        /// while, as peers may tell of them again with a later time.
        std::vector<EndpointEnd> ends;
        std::optional<SteadyTime> answered;
        std::size_t depth = 0;

        std::span<const EndpointEnd> openEnds() const;
        bool isQuarantined = false;
        /// When this instance last sent a request as a test.
        std::optional<SteadyTime> tested;
        /// The requests that this instance, and that peers, have held back a short time ago.
        std::optional<Wanted> wanted;
        std::map<std::string, Wanted> wantedByPeers;
    };

    using Endpoints = std::set<std::uint64_t>;

    static std::size_t countEnded(const Suspect &suspect);
    static std::size_t countUnexplained(const Suspect &suspect, const Endpoints &explained);
    SteadyTime mayTestFrom(PromptPart part, const Suspect &suspect, int ends, SteadyTime now) const;
    std::size_t testersBefore(PromptPart part, const Suspect &suspect, int ends,
                              SteadyTime now) const;
    SteadyTime quarantineEnd(const Suspect &suspect) const;
    Suspect &findOrAdd(PromptPart part);
    void addEnd(PromptPart part, std::size_t depth, const EndpointEnd &end);
    std::set<PromptPart> findResponsible() const;
    void keepShallowest(std::set<PromptPart> &responsible) const;
    QuarantineChange updateQuarantined();
    void makeRoom();

    std::string m_instance;
    std::chrono::milliseconds m_holdBound;
    std::map<PromptPart, Suspect> m_suspects;
    /// The answers seen by this instance, and those that peers have told of.
    RecentAnswers m_ownAnswers;
    RecentAnswers m_peerAnswers;
};

} // namespace pistachiofall
