#include "common/platforminstances.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace json = boost::json;

namespace {

std::map<std::string, std::string> sliceLabels()
{
    return {{"kubernetes.io/service-name", "pistachiofall"}};
}

json::object makePort(std::string_view name, std::uint16_t port)
{
    return {{"name", name}, {"port", port}, {"protocol", "TCP"}};
}

json::object makeEndpoint(const PlatformInstance &instance, const std::string &nameSpace)
{
    const json::object conditions = {
            {"ready", !instance.isLeaving}, {"serving", true}, {"terminating", instance.isLeaving}};
    const json::object targetRef = {
            {"kind", "Pod"}, {"namespace", nameSpace}, {"name", instance.name}};
    json::object endpoint;
    endpoint["addresses"] = json::array{json::value(instance.host)};
    endpoint["conditions"] = conditions;
    endpoint["targetRef"] = targetRef;
    endpoint["zone"] = instance.failureDomain;
    return endpoint;
}

json::object makeSlice(const PlatformInstance &instance, std::uint64_t revision,
                       const std::string &nameSpace)
{
    json::object labels;
    for (const auto &[name, value] : sliceLabels())
        labels[name] = value;
    json::object slice;
    slice["metadata"] = json::object{{"name", "pistachiofall-" + instance.name},
                                     {"namespace", nameSpace},
                                     {"resourceVersion", std::to_string(revision)},
                                     {"labels", labels}};
    slice["addressType"] = instance.host.find(':') == std::string::npos ? "IPv4" : "IPv6";
    slice["endpoints"] = json::array{json::value(makeEndpoint(instance, nameSpace))};
    slice["ports"] = json::array{json::value(makePort("peer", instance.peerPort)),
                                 json::value(makePort("admin", instance.adminPort))};
    return slice;
}

} // namespace

PlatformInstances::PlatformInstances(std::chrono::milliseconds lag)
    : m_lag(lag)
{ }

void PlatformInstances::set(const PlatformInstance &instance, std::uint64_t revision, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_pending.push_back({now + m_lag, revision, instance.name, instance});
}

void PlatformInstances::remove(const std::string &name, std::uint64_t revision, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_pending.push_back({now + m_lag, revision, name, std::nullopt});
}

void PlatformInstances::setFrozen(bool isFrozen, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    applyDue(now);
    m_isFrozen = isFrozen;
}

void PlatformInstances::applyDue(TimePoint now)
{
    while (!m_isFrozen && !m_pending.empty() && m_pending.front().visibleFrom <= now) {
        Change change = std::move(m_pending.front());
        m_pending.pop_front();
        m_revision = change.revision;
        if (change.instance)
            m_visible[change.name] = {std::move(*change.instance), change.revision};
        else
            m_visible.erase(change.name);
    }
}

std::string PlatformInstances::renderList(const std::string &nameSpace,
                                          const LabelSelector &selector, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    applyDue(now);
    json::array items;
    if (selector.matches(sliceLabels())) {
        for (const auto &[name, visible] : m_visible)
            items.push_back(makeSlice(visible.instance, visible.revision, nameSpace));
    }
    json::object list;
    list["kind"] = "EndpointSliceList";
    list["apiVersion"] = "discovery.k8s.io/v1";
    list["metadata"] = json::object{{"resourceVersion", std::to_string(m_revision)}};
    list["items"] = std::move(items);
    return json::serialize(list);
}

} // namespace pistachiofall::standins
