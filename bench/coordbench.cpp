#include "base/manualclock.h"
#include "coord/endpointadmission.h"
#include "coord/shardratelimiter.h"
#include "coord/shardtablecodec.h"
#include "coord/tableplanner.h"
#include "node/ratechanges.h"
#include "wire/body.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

// Measures the processor time and the bytes of the coordination roles, without sockets. Prints one
// row for each cost: the least, the median and the greatest of five runs in microseconds of
// processor time for one operation, and bytes.

namespace {

using namespace pistachiofall;
using namespace std::chrono_literals;

constexpr int RunCount = 5;
constexpr std::size_t DomainCount = 14;
const SteadyTime start = ManualClock().now();

// Keeps the compiler from leaving out work whose outcome nobody reads.
std::size_t sink = 0;

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

void measure(const std::string &name, int count, std::size_t bytes,
             const std::function<void(int)> &operation)
{
    std::array<double, RunCount> runs{};
    for (double &run : runs) {
        const double before = processorMicroseconds();
        for (int index = 0; index < count; ++index)
            operation(index);
        run = (processorMicroseconds() - before) / count;
    }
    std::ranges::sort(runs);
    std::printf("%-48s %10.2f %10.2f %10.2f %10zu\n", name.c_str(), runs.front(),
                runs[RunCount / 2], runs.back(), bytes);
    std::fflush(stdout);
}

// The bytes of a frame after it was encoded and decoded as both sides do.
template<typename Message>
std::size_t passMessage(Message message)
{
    wire::EnvelopeT envelope;
    envelope.correlationId = 123'456;
    envelope.timeLeftMs = 300;
    envelope.body = makeBody(std::move(message));
    const auto frame = encodeFrame(envelope);
    if (!isOk(frame))
        std::abort();
    const std::string &bytes = valueOf(frame);
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    const auto decoded = decodeEnvelope({data + FrameHeaderBytes, bytes.size() - FrameHeaderBytes});
    if (!std::holds_alternative<wire::EnvelopeT>(decoded))
        std::abort();
    return bytes.size();
}

std::string organisationName(int index)
{
    return "organisation-" + std::to_string(index);
}

HolderId instanceId(std::size_t index)
{
    return {"entry-east-" + std::to_string(index), 1'700'000'000'000'000 + index};
}

PlannerView makeView(std::size_t instances, std::size_t shards)
{
    PlannerView view;
    view.self = instanceId(0);
    for (std::size_t index = 0; index < instances; ++index)
        view.members.push_back(
                {instanceId(index), "domain-" + std::to_string(index % DomainCount)});
    view.shardCount = shards;
    view.startedAt = start;
    view.tableSince = start;
    view.now = start + 10h;
    return view;
}

ShardTable makeTable(const PlannerView &view)
{
    return std::get<CreateTable>(planTable(nullptr, view)).table;
}

void measureTokens()
{
    ShardRateLimiter holder(instanceId(0));
    const std::vector<OrganisationLimit> limits{{"organisation-1", {1'000'000'000, 1'000'000}}};
    holder.setRates(limits, start - 1h);
    holder.setTable({1, {Shard{{{instanceId(0), 1, false}, {instanceId(0), 1, false}}}}},
                    start - 1h);
    const auto exchange = [&holder](int index) {
        wire::TokenRequestT request;
        request.organisation = "organisation-1";
        request.tokens = 1;
        request.epoch = 1;
        std::size_t bytes = passMessage(std::move(request));
        const auto answer = holder.request("organisation-1", 1, MaxGrantWait, start + index * 1ms);
        wire::TokenReplyT reply;
        reply.outcome = std::holds_alternative<TokensGranted>(answer) ? wire::TokenOutcome::Granted
                                                                      : wire::TokenOutcome::Refused;
        reply.epoch = 1;
        return bytes + passMessage(reply);
    };
    measure("token request and reply", 20'000, exchange(0),
            [&exchange](int index) { sink += exchange(index); });
    measure("token request, holder alone", 20'000, 0, [&holder](int index) {
        sink += holder.request("organisation-1", 1, MaxGrantWait, start + index * 1ms).index();
    });
}

void measureSlots()
{
    EndpointAdmission admission({16, 2}, {}, 1, start);
    std::uint64_t ticket = 0;
    const auto exchange = [&](int) {
        wire::SlotRequestT request;
        request.endpoint = "tour-east-1234";
        request.instance = instanceId(0).instance;
        request.incarnation = instanceId(0).incarnation;
        request.maxWaitMs = 1000;
        std::size_t bytes = passMessage(std::move(request));
        const auto actions = admission.request(
                {++ticket, WorkClass::Online, instanceId(0).instance, start + 10s}, start);
        const auto &granted = std::get<GrantSlot>(actions.at(0));
        wire::SlotReplyT reply;
        reply.slotId = granted.slotId;
        reply.timeToLiveMs = 15'000;
        reply.limit = 16;
        bytes += passMessage(reply);
        wire::SlotReleaseT release;
        release.endpoint = "tour-east-1234";
        release.slotId = granted.slotId;
        release.firstTokenMs = 300;
        bytes += passMessage(std::move(release));
        admission.release(granted.slotId, CallOutcome::Succeeded, 300ms, start);
        return bytes + passMessage(wire::SlotAckT{});
    };
    measure("slot request, reply, release and answer", 20'000, exchange(0),
            [&exchange](int index) { sink += exchange(index); });
}

void measureTable(std::size_t shards, std::size_t instances)
{
    const ShardTable table = makeTable(makeView(instances, shards));
    const std::string bytes = encodeShardTable(table);
    const std::string size =
            std::to_string(shards) + " shards, " + std::to_string(instances) + " instances";
    measure("encode table, " + size, 300, bytes.size(),
            [&table](int) { sink += encodeShardTable(table).size(); });
    measure("decode table, " + size, 300, bytes.size(),
            [&bytes](int) { sink += valueOf(decodeShardTable(bytes)).shards.size(); });
}

void measurePlanner(std::size_t instances)
{
    const PlannerView view = makeView(instances, 1024);
    const ShardTable table = makeTable(view);
    measure("planner tick, 1024 shards, " + std::to_string(instances) + " instances", 30, 0,
            [&](int) { sink += planTable(&table, view).index(); });
}

void measureOrganisations(int count)
{
    std::vector<std::string> lines;
    for (int index = 0; index < count; ++index)
        lines.push_back("organisation " + organisationName(index)
                        + " rate=50 burst=100 # by Ana: bench");
    const auto created = RuleSet::create(lines);
    const RuleSet &rules = *valueOf(created);
    const std::size_t before = mallinfo2().uordblks;
    ShardRateLimiter holder(instanceId(0));
    holder.setRates(allLimits(rules), start);
    holder.setTable(makeTable(makeView(410, 1024)), start);
    const std::size_t unused = mallinfo2().uordblks - before;
    const std::string organisations = std::to_string(count) + " organisations";
    std::printf("%-48s %32s %10zu\n", ("holder, each of " + organisations).c_str(), "",
                unused / static_cast<std::size_t>(count));
    const std::vector<std::string> removed{lines[7]};
    const std::vector<std::string> added{
            "organisation organisation-7 rate=60 burst=100 # by Ana: bench"};
    const auto applied = rules.apply(removed, added);
    const RuleSet &changed = *valueOf(applied);
    measure("rule set change, " + organisations, 50, 0,
            [&](int) { sink += valueOf(rules.apply(removed, added))->size(); });
    measure("holder change, " + organisations, 50, 0, [&](int index) {
        const bool isForth = index % 2 == 0;
        applyRateChanges(holder, isForth ? rules : changed, isForth ? changed : rules, start + 1s);
    });
}

} // namespace

int main()
{
    std::printf("%-48s %10s %10s %10s %10s\n", "cost", "least us", "median us", "most us", "bytes");
    measureTokens();
    measureSlots();
    for (const std::size_t shards : {256U, 1024U}) {
        for (const std::size_t instances : {9U, 81U, 410U})
            measureTable(shards, instances);
    }
    for (const std::size_t instances : {9U, 81U, 410U})
        measurePlanner(instances);
    for (const int count : {1'000, 5'000, 20'000})
        measureOrganisations(count);
    return sink == 0 ? 1 : 0;
}
