#include "node/adminhandler.h"

#include <utility>

#include <boost/json.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

json::array endpointsJson(const Coordination &coordination, const RuleSet &rules,
                          const std::map<std::string, EndpointLoad> &loads)
{
    json::array endpoints;
    for (const auto &rule : rules.table<EndpointRule>()) {
        const auto owner = coordination.holderOf(rule->name, FirstPlace);
        json::object endpoint{{"name", rule->name},
                              {"failureDomain", rule->failureDomain},
                              {"leaving", rule->leaving},
                              {"failureDomainOut", rules.isFailureDomainOut(rule->failureDomain)},
                              {"owner", owner ? owner->instance : std::string()}};
        const auto load = loads.find(rule->name);
        if (load != loads.end()) {
            endpoint["inFlight"] = load->second.inFlight;
            endpoint["limit"] = load->second.limit;
            endpoint["queuedOnline"] = load->second.queuedOnline;
        }
        endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
}

json::array membersJson(Membership &membership, SteadyTime now)
{
    json::array members;
    for (const Member &member : membership.members()) {
        json::object entry{{"name", member.name},
                           {"failureDomain", member.failureDomain},
                           {"listed", member.isListed},
                           {"leaving", member.isLeaving},
                           {"rulesVersion", member.rulesVersion}};
        if (member.lastHeard)
            entry["heardMsAgo"] = duration_cast<milliseconds>(now - *member.lastHeard).count();
        members.push_back(std::move(entry));
    }
    return members;
}

json::array rolloutsJson(const std::map<std::string, RolloutProgress> &rollouts)
{
    json::array entries;
    for (const auto &[model, progress] : rollouts) {
        entries.push_back(json::object{{"model", model},
                                       {"version", progress.version},
                                       {"current", progress.current},
                                       {"changing", progress.changing},
                                       {"pending", progress.pending},
                                       {"unknown", progress.unknown},
                                       {"failedEndpoint", progress.failedEndpoint}});
    }
    return entries;
}

} // namespace

AdminHandler::AdminHandler(const Clock &clock, MetricsRegistry &metrics, Coordination &coordination,
                           const SlotService &slots, const ActiveRequests &requests,
                           RolloutCoordinator &rollouts)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_coordination(coordination)
    , m_slots(slots)
    , m_requests(requests)
    , m_rollouts(rollouts)
{ }

asio::awaitable<void> AdminHandler::handle(ServerExchange &exchange)
{
    Answer answer = answerTo(exchange.path());
    HttpHeaders headers;
    headers.set("Content-Type", answer.contentType);
    co_await exchange.respond(answer.status, std::move(headers), std::move(answer.body));
}

AdminHandler::Answer AdminHandler::answerTo(std::string_view path) const
{
    if (path == "/healthz")
        return {200, "text/plain", "ok\n"};
    if (path == "/readyz") {
        const std::string reason = notReadyReason();
        if (reason.empty())
            return {200, "text/plain", "ready\n"};
        return {503, "text/plain", reason + "\n"};
    }
    if (path == "/metrics")
        return {200, "text/plain; version=0.0.4", m_metrics.renderText()};
    if (path == "/status")
        return {200, "application/json", statusJson()};
    return {404, "text/plain", "try /healthz, /readyz, /metrics or /status\n"};
}

std::string AdminHandler::notReadyReason() const
{
    if (m_isStopping)
        return "stopping";
    if (!m_coordination.rules().isInitialized())
        return "no rules yet";
    if (!m_coordination.table().table())
        return "no shard table yet";
    if (m_coordination.isIsolated(m_clock.now()))
        return "isolated";
    if (!m_coordination.knowsHolders(m_clock.now()))
        return "members not known yet";
    return {};
}

std::string AdminHandler::statusJson() const
{
    const auto now = m_clock.now();
    const RulesSnapshot snapshot = m_coordination.rules().snapshot();
    const InstanceIdentity &identity = m_coordination.identity();
    json::object status{{"instance", identity.name},
                        {"incarnation", identity.incarnation},
                        {"failureDomain", identity.failureDomain},
                        {"rulesVersion", snapshot.version},
                        {"tableEpoch", m_coordination.table().epoch()},
                        {"isolated", m_coordination.isIsolated(now)},
                        {"notReady", notReadyReason()},
                        {"requestsInFlight", m_requests.size()}};
    if (const auto age = m_coordination.contact().confirmationAge(now))
        status["confirmationAgeMs"] = age->count();
    if (const auto table = m_coordination.table().table()) {
        const Holdings held = holdingsOf(*table, {identity.name, identity.incarnation});
        status["firstPlaces"] = held[FirstPlace].size();
        status["secondPlaces"] = held[SecondPlace].size();
    }
    status["members"] = membersJson(m_coordination.membership(), now);
    status["endpoints"] = endpointsJson(m_coordination, *snapshot.rules, m_slots.loads());
    status["rollouts"] = rolloutsJson(m_rollouts.progress());
    return json::serialize(status) + "\n";
}

} // namespace pistachiofall
