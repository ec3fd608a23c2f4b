#include "node/limitclient.h"

#include "base/overloaded.h"
#include "coord/grantwindow.h"
#include "node/ratechanges.h"
#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// A holder answers in about a millisecond; the other one is asked soon enough to meet the first
// token's objective.
constexpr milliseconds HolderTimeout{300};

} // namespace

/// What one holder answered.
struct LimitClient::Outcome
{
    enum class Kind { Granted, Refused, NoAnswer };
    Kind kind = Kind::NoAnswer;
    GrantWindow window;
    milliseconds retryAfter{0};
};

LimitClient::LimitClient(LimitPolicy policy, const Clock &clock, MetricsRegistry &metrics,
                         Coordination &coordination, PeerClient &peers)
    : m_policy(std::move(policy))
    , m_clock(clock)
    , m_coordination(coordination)
    , m_peers(peers)
    , m_granted(metrics.counter("limit_tokens_total", {{"outcome", "granted"}}))
    , m_refused(metrics.counter("limit_tokens_total", {{"outcome", "refused"}}))
    , m_unavailable(metrics.counter("limit_tokens_total", {{"outcome", "unavailable"}}))
    , m_discarded(metrics.counter("limit_tokens_total", {{"outcome", "discarded"}}))
{ }

asio::awaitable<Result<Done>> LimitClient::acquire(std::string organisation)
{
    bool isRefused = false;
    milliseconds retryAfter = milliseconds::max();
    for (const HolderId &holder : holdersOf(organisation)) {
        const Outcome outcome = co_await ask(holder, organisation);
        if (outcome.kind == Outcome::Kind::Granted) {
            const auto wait = std::chrono::ceil<milliseconds>(outcome.window.from - m_clock.now());
            if (wait > milliseconds{0})
                co_await sleepFor(wait);
            if (isUsable(outcome.window, m_clock.now())) {
                m_granted.add();
                co_return Done{};
            }
            m_discarded.add();
        } else if (outcome.kind == Outcome::Kind::Refused) {
            isRefused = true;
            retryAfter = std::min(retryAfter, outcome.retryAfter);
        }
    }
    if (isRefused) {
        m_refused.add();
        co_return Error{ErrorCode::RateLimited,
                        "organisation '" + organisation + "' is over its rate; try again in "
                                + std::to_string(retryAfter.count()) + " ms"};
    }
    m_unavailable.add();
    co_return Error{ErrorCode::Unavailable,
                    "no holder of the limit of organisation '" + organisation + "' answers"};
}

std::vector<HolderId> LimitClient::holdersOf(const std::string &organisation)
{
    const InstanceIdentity &identity = m_coordination.identity();
    if (std::holds_alternative<std::unique_ptr<LocalLimits>>(m_policy))
        return {HolderId{identity.name, identity.incarnation}};
    const auto first = m_coordination.holderOf(organisation, FirstPlace);
    const auto second = m_coordination.holderOf(organisation, SecondPlace);
    if (!first || !second)
        return {};
    if (*first == *second)
        return {*first};
    std::vector<HolderId> holders{*first, *second};
    // A holder here costs no message, one in the same failure domain the shortest way.
    const auto distance = [this](const HolderId &holder) {
        const InstanceIdentity &self = m_coordination.identity();
        if (holder.instance == self.name)
            return 0;
        const auto member = m_coordination.membership().find(holder.instance);
        return member && member->failureDomain == self.failureDomain ? 1 : 2;
    };
    if (distance(holders[1]) < distance(holders[0]))
        std::swap(holders[0], holders[1]);
    return holders;
}

asio::awaitable<LimitClient::Outcome> LimitClient::ask(HolderId holder, std::string organisation)
{
    if (holder.instance == m_coordination.identity().name)
        co_return askSelf(organisation);
    const auto member = m_coordination.membership().find(holder.instance);
    if (!member)
        co_return Outcome{};
    co_return co_await askPeer(member->address, std::move(organisation));
}

LimitClient::Outcome LimitClient::askSelf(const std::string &organisation)
{
    const auto now = m_clock.now();
    if (m_coordination.isIsolated(now))
        return {};
    const auto holders = [&](const HolderLimits &) {
        return m_coordination.limits().request(organisation, 1, MaxGrantWait, now);
    };
    const auto local = [&](const std::unique_ptr<LocalLimits> &limits) {
        return askLocal(*limits, organisation, now);
    };
    const LimitAnswer answer = std::visit(Overloaded{holders, local}, m_policy);
    if (const auto *granted = std::get_if<TokensGranted>(&answer))
        return {Outcome::Kind::Granted, {granted->due, granted->due + GrantLifetime}, {}};
    if (const auto *refused = std::get_if<TokensRefused>(&answer)) {
        const auto after = refused->retryAfter.value_or(std::chrono::hours{1});
        return {Outcome::Kind::Refused, {}, std::chrono::ceil<milliseconds>(after)};
    }
    return {};
}

LimitAnswer LimitClient::askLocal(LocalLimits &limits, const std::string &organisation,
                                  SteadyTime now)
{
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const OrganisationRule *rule = rules->organisation(organisation);
    if (rule == nullptr)
        return TokensRefused{};
    // The members known are the others.
    const std::size_t instances = m_coordination.membership().memberCount() + 1;
    const BucketAnswer answer = limits.request(organisation, rateLimitOf(*rule), instances, now);
    return std::visit([](const auto &given) -> LimitAnswer { return given; }, answer);
}

asio::awaitable<LimitClient::Outcome> LimitClient::askPeer(SocketAddress address,
                                                           std::string organisation)
{
    wire::TokenRequestT request;
    request.organisation = std::move(organisation);
    request.tokens = 1;
    request.epoch = m_coordination.table().epoch();
    const auto sentAt = m_clock.now();
    wire::BodyUnion body = makeBody(std::move(request));
    auto reply = co_await m_peers.call(std::move(address), std::move(body), HolderTimeout);
    const wire::TokenReplyT *token = isOk(reply) ? valueOf(reply).AsTokenReply() : nullptr;
    if (token == nullptr)
        co_return Outcome{};
    if (token->outcome == wire::TokenOutcome::Granted)
        co_return Outcome{Outcome::Kind::Granted,
                          grantWindow(sentAt, m_clock.now(), milliseconds{token->waitMs}),
                          {}};
    if (token->outcome == wire::TokenOutcome::Refused)
        co_return Outcome{Outcome::Kind::Refused, {}, milliseconds{token->retryAfterMs}};
    co_return Outcome{};
}

} // namespace pistachiofall
