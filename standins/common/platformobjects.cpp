#include "common/platformobjects.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace json = boost::json;

namespace {

// Bounds for the memory of long experiments; a watcher that is further behind begins anew.
constexpr std::size_t MaxHistoryLength = 10'000;
constexpr std::size_t MaxHistoryBytes = 64U << 20U;

ApiAnswer notFound(const std::string &name)
{
    return statusAnswer(404, "NotFound", "configmaps \"" + name + "\" not found");
}

ApiAnswer conflict(const std::string &name)
{
    return statusAnswer(409, "Conflict",
                        "Operation cannot be fulfilled on configmaps \"" + name
                                + "\": the object has been modified");
}

std::string eventLine(std::string_view type, const PlatformObject &object)
{
    return R"({"type":")" + std::string(type) + R"(","object":)" + object.json + "}\n";
}

std::string preconditionVersion(std::string_view body)
{
    boost::system::error_code error;
    const json::value options = json::parse({body.data(), body.size()}, error);
    if (error || !options.is_object())
        return {};
    const auto *preconditions = options.get_object().if_contains("preconditions");
    if (!preconditions || !preconditions->is_object())
        return {};
    const auto *version = preconditions->get_object().if_contains("resourceVersion");
    return version && version->is_string() ? std::string(version->get_string().c_str())
                                           : std::string();
}

} // namespace

PlatformObjects::ObjectPointer PlatformObjects::find(const Key &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : found->second;
}

ApiAnswer PlatformObjects::get(const std::string &nameSpace, const std::string &name) const
{
    const std::scoped_lock lock(m_mutex);
    const ObjectPointer object = find({nameSpace, name});
    return object ? ApiAnswer{200, object->json} : notFound(name);
}

ApiAnswer PlatformObjects::list(const ObjectSelection &selection) const
{
    const std::scoped_lock lock(m_mutex);
    std::string items;
    for (const auto &[key, object] : m_objects) {
        if (!selection.contains(*object))
            continue;
        items += items.empty() ? "" : ",";
        items += object->json;
    }
    return {200,
            R"({"kind":"ConfigMapList","apiVersion":"v1","metadata":{"resourceVersion":")"
                    + std::to_string(m_revision) + R"("},"items":[)" + items + "]}"};
}

ApiAnswer PlatformObjects::create(const std::string &nameSpace, std::string_view body)
{
    auto parsed = ConfigMap::parse(body, nameSpace);
    if (auto *refusal = std::get_if<ApiAnswer>(&parsed))
        return std::move(*refusal);
    const auto &configMap = std::get<ConfigMap>(parsed);
    if (!configMap.version.empty())
        return statusAnswer(400, "BadRequest",
                            "resourceVersion should not be set on objects to be created");
    const std::scoped_lock lock(m_mutex);
    if (find({nameSpace, configMap.name}))
        return statusAnswer(409, "AlreadyExists",
                            "configmaps \"" + configMap.name + "\" already exists");
    const auto object = std::make_shared<const PlatformObject>(configMap.at(++m_revision));
    record(nullptr, object, false);
    return {201, object->json};
}

ApiAnswer PlatformObjects::update(const std::string &nameSpace, const std::string &name,
                                  std::string_view body)
{
    auto parsed = ConfigMap::parse(body, nameSpace);
    if (auto *refusal = std::get_if<ApiAnswer>(&parsed))
        return std::move(*refusal);
    const auto &configMap = std::get<ConfigMap>(parsed);
    if (configMap.name != name)
        return statusAnswer(400, "BadRequest",
                            "the name of the object (" + configMap.name
                                    + ") does not match the name on the URL (" + name + ")");
    const std::scoped_lock lock(m_mutex);
    const ObjectPointer before = find({nameSpace, name});
    if (!before)
        return notFound(name);
    if (!configMap.version.empty() && configMap.version != std::to_string(before->revision))
        return conflict(name);
    if (configMap.at(before->revision).json == before->json)
        return {200, before->json};
    const auto after = std::make_shared<const PlatformObject>(configMap.at(++m_revision));
    record(before, after, false);
    return {200, after->json};
}

ApiAnswer PlatformObjects::remove(const std::string &nameSpace, const std::string &name,
                                  std::string_view body)
{
    const std::string version = preconditionVersion(body);
    const std::scoped_lock lock(m_mutex);
    const ObjectPointer before = find({nameSpace, name});
    if (!before)
        return notFound(name);
    if (!version.empty() && version != std::to_string(before->revision))
        return conflict(name);
    record(before, std::make_shared<const PlatformObject>(withRevision(*before, ++m_revision)),
           true);
    return statusAnswer(200, "", "");
}

void PlatformObjects::record(ObjectPointer before, ObjectPointer after, bool isRemoval)
{
    const Key key{after->nameSpace, after->name};
    if (isRemoval)
        m_objects.erase(key);
    else
        m_objects[key] = after;
    m_historyBytes += after->json.size();
    m_history.push_back({after->revision, std::move(before), std::move(after), isRemoval});
    while (m_history.size() > MaxHistoryLength || m_historyBytes > MaxHistoryBytes) {
        m_compacted = m_history.front().revision;
        m_historyBytes -= m_history.front().after->json.size();
        m_history.pop_front();
    }
}

PlatformObjects::Events PlatformObjects::presentState(const ObjectSelection &selection) const
{
    const std::scoped_lock lock(m_mutex);
    Events events{{}, m_revision};
    for (const auto &[key, object] : m_objects) {
        if (selection.contains(*object))
            events.lines += eventLine("ADDED", *object);
    }
    return events;
}

std::optional<PlatformObjects::Events>
PlatformObjects::changesAfter(std::uint64_t revision, const ObjectSelection &selection) const
{
    const std::scoped_lock lock(m_mutex);
    if (revision < m_compacted)
        return std::nullopt;
    Events events{{}, m_revision};
    for (auto change = m_history.rbegin();
         change != m_history.rend() && change->revision > revision; ++change) {
        const bool wasSelected = change->before && selection.contains(*change->before);
        const bool isSelected = !change->isRemoval && selection.contains(*change->after);
        if (wasSelected && isSelected)
            events.lines.insert(0, eventLine("MODIFIED", *change->after));
        else if (wasSelected)
            events.lines.insert(0, eventLine("DELETED", *change->after));
        else if (isSelected)
            events.lines.insert(0, eventLine("ADDED", *change->after));
    }
    return events;
}

void PlatformObjects::compact()
{
    const std::scoped_lock lock(m_mutex);
    m_compacted = m_revision;
    m_history.clear();
    m_historyBytes = 0;
}

std::uint64_t PlatformObjects::revision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_revision;
}

std::uint64_t PlatformObjects::takeRevision()
{
    const std::scoped_lock lock(m_mutex);
    return ++m_revision;
}

std::string PlatformObjects::describe() const
{
    const std::scoped_lock lock(m_mutex);
    json::array objects;
    for (const auto &[key, object] : m_objects) {
        json::object entry;
        entry["namespace"] = object->nameSpace;
        entry["name"] = object->name;
        entry["version"] = std::to_string(object->revision);
        entry["size"] = object->size;
        objects.push_back(std::move(entry));
    }
    return json::serialize(objects);
}

} // namespace pistachiofall::standins
