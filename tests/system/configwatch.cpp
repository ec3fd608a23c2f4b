#include "system/configwatch.h"

#include "system/waituntil.h"

#include <algorithm>

namespace pistachiofall::tests {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds SampleInterval{25};

} // namespace

ConfigWatch::ConfigWatch(SpaceFleet &fleet, int instances)
    : m_fleet(fleet)
    , m_instances(static_cast<std::size_t>(instances))
{
    for (Instance &instance : m_instances)
        instance.disturbed = steady_clock::now();
    for (int index = 0; index < instances; ++index)
        m_samplers.emplace_back([this, index] { sample(index); });
}

ConfigWatch::~ConfigWatch()
{
    m_isDone = true;
    for (std::thread &sampler : m_samplers)
        sampler.join();
}

void ConfigWatch::acknowledged(int version)
{
    const std::scoped_lock lock(m_mutex);
    m_acknowledged.push_back({version, steady_clock::now()});
}

void ConfigWatch::disturb(int index)
{
    const std::scoped_lock lock(m_mutex);
    m_instances[static_cast<std::size_t>(index)].disturbed = steady_clock::now();
}

void ConfigWatch::restarted(int index)
{
    const std::scoped_lock lock(m_mutex);
    Instance &instance = m_instances[static_cast<std::size_t>(index)];
    instance.disturbed = steady_clock::now();
    instance.newest = 0;
    ++instance.incarnation;
}

bool ConfigWatch::waitInForce(int version, milliseconds bound)
{
    return waitUntil(bound, [this, version] {
        const std::scoped_lock lock(m_mutex);
        return std::all_of(
                m_instances.begin(), m_instances.end(),
                [version](const Instance &instance) { return instance.version >= version; });
    });
}

std::string ConfigWatch::violations()
{
    const std::scoped_lock lock(m_mutex);
    return m_violations;
}

void ConfigWatch::sample(int index)
{
    while (!m_isDone) {
        int incarnation = 0;
        {
            const std::scoped_lock lock(m_mutex);
            incarnation = m_instances[static_cast<std::size_t>(index)].incarnation;
        }
        const auto asked = steady_clock::now();
        const std::int64_t version = m_fleet.metric(index, "config_version");
        {
            const std::scoped_lock lock(m_mutex);
            if (m_instances[static_cast<std::size_t>(index)].incarnation == incarnation)
                check(index, asked, version);
        }
        std::this_thread::sleep_for(SampleInterval);
    }
}

int ConfigWatch::owed(TimePoint asked) const
{
    int version = 0;
    for (const Acknowledgement &each : m_acknowledged) {
        if (each.time + ChangeBound <= asked)
            version = each.version;
    }
    return version;
}

void ConfigWatch::check(int index, TimePoint asked, std::int64_t version)
{
    Instance &instance = m_instances[static_cast<std::size_t>(index)];
    instance.version = version;
    if (version < 0 || instance.isReported)
        return;
    const std::string name = "instance " + std::to_string(index);
    if (version < instance.newest) {
        m_violations += name + " went from version " + std::to_string(instance.newest) + " back to "
                + std::to_string(version) + "\n";
        instance.isReported = true;
    }
    instance.newest = std::max(instance.newest, version);
    const int expected = owed(asked);
    if (asked - instance.disturbed < ContactTime || version >= expected)
        return;
    m_violations += name + " has version " + std::to_string(version) + ", version "
            + std::to_string(expected) + " was acknowledged more than "
            + std::to_string(ChangeBound.count()) + " ms before\n";
    instance.isReported = true;
}

} // namespace pistachiofall::tests
