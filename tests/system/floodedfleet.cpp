#include "system/floodedfleet.h"

#include "system/echoservice.h"
#include "system/rateexcess.h"
#include "system/storedtable.h"
#include "system/waituntil.h"

#include "coord/coordtimes.h"

#include <algorithm>
#include <map>
#include <thread>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

// Its macro for new does not compile in the headers of Boost.
#include <CppUTest/TestHarness.h>

namespace pistachiofall::tests {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr int Endpoints = 4;
constexpr milliseconds FillMargin{500};

FleetOptions fleetOptions(const FloodOptions &options)
{
    FleetOptions fleet;
    fleet.instances = options.instances;
    return fleet;
}

std::string callId(int organisation, int caller, int number)
{
    return std::to_string(organisation) + "-" + std::to_string(caller) + "-"
            + std::to_string(number);
}

// When each run of each call began.
std::multimap<std::string, steady_clock::time_point> runTimes(const Fleet &fleet)
{
    std::multimap<std::string, steady_clock::time_point> times;
    for (int number = 0; number < Endpoints; ++number) {
        const auto port = fleet.endpointPort("e-" + std::to_string(number));
        const auto runs = boost::json::parse(httpGet(port, "/control/run-times").body);
        for (const auto &call : runs.as_object()) {
            for (const auto &time : call.value().as_array())
                times.emplace(call.key(), microseconds{time.as_int64()});
        }
    }
    return times;
}

} // namespace

FloodedFleet::FloodedFleet(const FloodOptions &options)
    : m_fleet(fleetOptions(options))
    , m_endpoints(startEchoService(m_fleet, Endpoints))
{
    for (int number = 0; number < Organisations; ++number) {
        const std::string id = std::to_string(number);
        m_keys.push_back(m_fleet.makeKey("k" + id, "org-" + id));
    }
    CHECK_EQUAL(0, apply(options.limit));
    for (int index = options.entries; index < options.instances; ++index)
        m_fleet.unlistInstance(index);
    for (int index = 0; index < options.entries; ++index)
        m_fleet.startInstance(index);
    for (int index = 0; index < options.entries; ++index)
        CHECK(m_fleet.waitReady(index));
    for (int index = 0; index < options.entries; ++index)
        CHECK(waitUntil(seconds{20}, [&] { return placesOf(m_fleet, index) > 0; }));
    // A fresh bucket is empty, and its halves are settled late; only with the whole burst there
    // does the load come close to the bound.
    std::this_thread::sleep_for(DivisionChangeDelay + FillMargin
                                + seconds{1} * options.limit.burst / options.limit.rate);
    for (int number = 0; number < Organisations; ++number) {
        const std::string &key = m_keys[static_cast<std::size_t>(number)].text;
        m_loads.push_back(std::make_unique<LoadLoop>(
                options.entries, options.callsPerSecond, [this, key, number](int caller, int call) {
                    return callEcho(m_fleet, caller, key, seconds{20},
                                    callId(number, caller, call));
                }));
    }
}

int FloodedFleet::apply(const FloodLimit &limit)
{
    std::string lines = m_endpoints;
    for (int number = 0; number < Organisations; ++number) {
        lines += "organisation org-" + std::to_string(number)
                + " rate=" + std::to_string(limit.rate) + " burst=" + std::to_string(limit.burst)
                + " # by Ana: test\n" + m_keys[static_cast<std::size_t>(number)].rule
                + " # by Ana: test\n";
    }
    return m_fleet.applyRules(lines);
}

std::vector<OrganisationCalls> FloodedFleet::stop()
{
    std::vector<OrganisationCalls> calls;
    for (const auto &load : m_loads)
        calls.push_back(load->stop());
    return calls;
}

std::vector<OrganisationCalls>
FloodedFleet::runsAtEndpoints(const std::vector<OrganisationCalls> &calls)
{
    const auto times = runTimes(m_fleet);
    std::size_t matched = 0;
    std::vector<OrganisationCalls> all;
    for (int organisation = 0; organisation < Organisations; ++organisation) {
        OrganisationCalls runs;
        for (LoadResult run : calls[static_cast<std::size_t>(organisation)]) {
            run.reply.status = 200;
            const auto [first, last] =
                    times.equal_range(callId(organisation, run.caller, run.number));
            for (auto time = first; time != last; ++time) {
                run.end = time->second;
                runs.push_back(run);
            }
        }
        matched += runs.size();
        all.push_back(std::move(runs));
    }
    CHECK_EQUAL(times.size(), matched);
    return all;
}

double highestExcess(const std::vector<OrganisationCalls> &calls, const FloodLimit &limit)
{
    double highest = -limit.burst;
    for (const OrganisationCalls &organisation : calls)
        highest = std::max(highest, highestExcess(organisation, limit.rate, limit.burst));
    return highest;
}

std::size_t countAnswered(const std::vector<OrganisationCalls> &calls)
{
    std::size_t count = 0;
    for (const OrganisationCalls &organisation : calls)
        count += countStatus(organisation, 200);
    return count;
}

} // namespace pistachiofall::tests
