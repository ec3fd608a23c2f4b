#include "node/endpointdrivers.h"

#include "rollout/rollouttimes.h"
#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

wire::EndpointPhase toWire(EndpointPhase phase)
{
    switch (phase) {
    case EndpointPhase::Serving:
        return wire::EndpointPhase::Serving;
    case EndpointPhase::Changing:
        return wire::EndpointPhase::Changing;
    case EndpointPhase::Unreachable:
        return wire::EndpointPhase::Unreachable;
    }
    return wire::EndpointPhase::Unreachable;
}

} // namespace

EndpointDrivers::EndpointDrivers(asio::any_io_executor executor, const Clock &clock,
                                 MetricsRegistry &metrics, Coordination &coordination,
                                 SlotService &slots, PeerClient &peers, EngineClient engines,
                                 RolloutCoordinator &coordinator,
                                 RolloutCoordinator::EpochOf epochOf,
                                 std::function<void()> serviceChanged)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_coordination(coordination)
    , m_slots(slots)
    , m_peers(peers)
    , m_engines(std::move(engines))
    , m_coordinator(coordinator)
    , m_epochOf(std::move(epochOf))
    , m_serviceChanged(std::move(serviceChanged))
    , m_accepted(metrics.counter("engine_commands_total", {{"outcome", "accepted"}}))
    , m_oldNumber(metrics.counter("engine_commands_total", {{"outcome", "old_number"}}))
    , m_unknown(metrics.counter("engine_commands_total", {{"outcome", "unknown"}}))
{ }

void EndpointDrivers::start()
{
    asio::co_spawn(m_executor, tick(), asio::detached);
    asio::co_spawn(m_executor, reportAll(), asio::detached);
}

bool EndpointDrivers::isInService(const std::string &endpoint) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_driven.find(endpoint);
    return found == m_driven.end() || found->second.driver.isInService();
}

asio::awaitable<void> EndpointDrivers::tick()
{
    for (;;) {
        co_await sleepFor(TickInterval);
        const auto now = m_clock.now();
        // Looking at each of 5,300 endpoints four times a second would be felt.
        const OwnershipView view{m_coordination.rules().version(), m_coordination.table().epoch(),
                                 m_coordination.isIsolated(now)};
        if (view != m_refreshed)
            refresh(now);
        m_refreshed = view;
        startReadings(now);
    }
}

void EndpointDrivers::refresh(SteadyTime now)
{
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    std::map<std::string, std::uint64_t> owned;
    for (const auto &model : rules->table<ModelRule>()) {
        for (const auto &endpoint : rules->endpointsOfModel(model->name)) {
            if (const auto epoch = m_epochOf(endpoint->name))
                owned[endpoint->name] = *epoch;
        }
    }
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_driven, [&owned](const auto &entry) {
        const auto found = owned.find(entry.first);
        return found == owned.end() || found->second != entry.second.fencing;
    });
    for (const auto &[name, epoch] : owned) {
        if (m_driven.contains(name))
            continue;
        const auto oldCommands = rules->endpoint(name)->fencing
                ? EndpointDriver::StaleCommands::Rejected
                : EndpointDriver::StaleCommands::Executed;
        m_driven.emplace(name, Driven{epoch, EndpointDriver(oldCommands, now), now, false, {}, {}});
    }
}

void EndpointDrivers::startReadings(SteadyTime now)
{
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const std::scoped_lock lock(m_mutex);
    for (auto &[name, driven] : m_driven) {
        const EndpointRule *endpoint = rules->endpoint(name);
        const ModelRule *model = endpoint == nullptr ? nullptr : rules->model(endpoint->model);
        if (model == nullptr || driven.isReading || now < driven.nextRead)
            continue;
        driven.isReading = true;
        asio::co_spawn(m_executor, drive(*endpoint, model->version, driven.fencing),
                       asio::detached);
    }
}

asio::awaitable<void> EndpointDrivers::drive(EndpointRule endpoint, std::string version,
                                             std::uint64_t fencing)
{
    const auto read = co_await m_engines.readState(endpoint.address);
    const bool isDrained = m_slots.isDrained(endpoint.name);
    DriverStep step;
    bool hasChanged = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_driven.find(endpoint.name);
        if (found == m_driven.end() || found->second.fencing != fencing)
            co_return;
        Driven &driven = found->second;
        const bool wasInService = driven.driver.isInService();
        std::optional<EngineState> state;
        if (isOk(read))
            state = valueOf(read);
        step = driven.driver.step(version, state, isDrained, m_clock.now());
        hasChanged = driven.driver.isInService() != wasInService;
        driven.phase = step.phase;
        driven.state = state.value_or(driven.state);
    }
    if (hasChanged)
        m_serviceChanged();
    if (step.versionToLoad)
        co_await sendLoad(endpoint, *step.versionToLoad, fencing);
    const std::scoped_lock lock(m_mutex);
    const auto found = m_driven.find(endpoint.name);
    if (found == m_driven.end() || found->second.fencing != fencing)
        co_return;
    found->second.isReading = false;
    const bool isSettled = found->second.driver.isInService();
    found->second.nextRead = isSettled ? m_clock.now() + ReadInterval : m_clock.now();
}

asio::awaitable<void> EndpointDrivers::sendLoad(EndpointRule endpoint, std::string version,
                                                std::uint64_t fencing)
{
    // The process may have been paused since it decided.
    if (m_epochOf(endpoint.name) != fencing)
        co_return;
    const CommandOutcome outcome =
            co_await m_engines.load(endpoint.address, std::move(version), fencing);
    switch (outcome) {
    case CommandOutcome::Accepted:
        m_accepted.add();
        break;
    case CommandOutcome::OldNumber:
        m_oldNumber.add();
        break;
    case CommandOutcome::Unknown:
        m_unknown.add();
        break;
    }
}

asio::awaitable<void> EndpointDrivers::reportAll()
{
    for (;;) {
        co_await sleepFor(ReportInterval);
        m_coordinator.progress();
        for (auto &[model, report] : takeReports())
            asio::co_spawn(m_executor, sendReport(std::move(report)), asio::detached);
    }
}

std::map<std::string, wire::RolloutReportT> EndpointDrivers::takeReports()
{
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const std::scoped_lock lock(m_mutex);
    ++m_sequence;
    std::map<std::string, wire::RolloutReportT> reports;
    for (const auto &[name, driven] : m_driven) {
        const EndpointRule *endpoint = rules->endpoint(name);
        if (endpoint == nullptr || !driven.phase || m_reporting.contains(endpoint->model))
            continue;
        wire::RolloutReportT &report = reports[endpoint->model];
        report.model = endpoint->model;
        report.sequence = m_sequence;
        auto entry = std::make_unique<wire::EndpointVersionT>();
        entry->endpoint = name;
        entry->version = driven.state.version;
        entry->failedVersion = driven.state.failedVersion;
        // A permission counts from the moment that it came, not from the next reading.
        entry->phase =
                driven.driver.isInService() ? toWire(*driven.phase) : wire::EndpointPhase::Changing;
        entry->fencing = driven.fencing;
        report.endpoints.push_back(std::move(entry));
    }
    for (const auto &[model, report] : reports)
        m_reporting.insert(model);
    return reports;
}

asio::awaitable<void> EndpointDrivers::sendReport(wire::RolloutReportT report)
{
    const auto sentAt = m_clock.now();
    const wire::RolloutReplyT reply = co_await ask(report);
    // The process may have been paused meanwhile, and the coordinator counts on the bound.
    if (m_clock.now() - sentAt <= PermissionTimeout)
        permit(report, reply);
    const std::scoped_lock lock(m_mutex);
    m_reporting.erase(report.model);
}

asio::awaitable<wire::RolloutReplyT> EndpointDrivers::ask(const wire::RolloutReportT &report)
{
    const auto holder = m_coordination.holderOf(report.model, FirstPlace);
    if (!holder)
        co_return wire::RolloutReplyT{};
    if (holder->instance == m_coordination.identity().name)
        co_return m_coordinator.report(report);
    const auto member = m_coordination.membership().find(holder->instance);
    if (!member)
        co_return wire::RolloutReplyT{};
    wire::BodyUnion body = makeBody(wire::RolloutReportT(report));
    auto answer = co_await m_peers.call(member->address, std::move(body), PermissionTimeout);
    const wire::RolloutReplyT *reply = isOk(answer) ? valueOf(answer).AsRolloutReply() : nullptr;
    if (reply == nullptr)
        co_return wire::RolloutReplyT{};
    co_return *reply;
}

void EndpointDrivers::permit(const wire::RolloutReportT &report, const wire::RolloutReplyT &reply)
{
    if (reply.permitted.empty())
        return;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.now();
        for (const auto &reported : report.endpoints) {
            const auto found = m_driven.find(reported->endpoint);
            const bool isSame =
                    found != m_driven.end() && found->second.fencing == reported->fencing;
            if (!isSame || std::ranges::count(reply.permitted, reported->endpoint) == 0)
                continue;
            found->second.driver.permit(now);
            found->second.nextRead = now;
        }
    }
    m_serviceChanged();
}

} // namespace pistachiofall
