#include "common/spacestore.h"

#include "common/pause.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view ObjectsPath = "/api/objects/";
constexpr std::size_t MostChanges = 10'000;
// Longer than any test.
constexpr std::chrono::minutes MutedTime{10};
constexpr std::chrono::milliseconds SlowReadTime{1200};
constexpr std::chrono::milliseconds LateWriteTime{2500};
constexpr std::chrono::seconds UnsureDownTime{2};

std::uint64_t revisionOf(const json::object &object)
{
    const json::value *metadata = object.if_contains("metadata");
    const json::object *fields = metadata == nullptr ? nullptr : metadata->if_object();
    const json::value *revision = fields == nullptr ? nullptr : fields->if_contains("rev");
    return revision == nullptr ? 0 : revision->to_number<std::uint64_t>();
}

std::string nameOf(const json::object &object)
{
    const json::value *metadata = object.if_contains("metadata");
    const json::object *fields = metadata == nullptr ? nullptr : metadata->if_object();
    const json::value *name = fields == nullptr ? nullptr : fields->if_contains("name");
    return name != nullptr && name->is_string() ? std::string(name->get_string()) : std::string();
}

json::value fieldOf(const json::object &object, const std::string &field)
{
    const json::value *value = object.if_contains(field);
    return value == nullptr ? json::value() : *value;
}

} // namespace

asio::awaitable<void> SpaceStore::answer(HttpExchange &exchange, unsigned status,
                                         const json::object &body)
{
    std::string text = json::serialize(body);
    co_await exchange.respond(status, "application/json", std::move(text));
}

asio::awaitable<void> SpaceStore::handle(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/control/fault") {
        m_fault = exchange.query("mode", "ok");
        m_faultKind = exchange.query("kind", "");
        m_unsureWrites = 0;
        co_await answer(exchange, 200, {});
        co_return;
    }
    if (path == "/control/mute") {
        ++m_muteCount;
        co_await answer(exchange, 200, {});
        co_return;
    }
    if (isDown()) {
        co_await answer(exchange, 503, {});
        co_return;
    }
    if (!path.starts_with(ObjectsPath)) {
        co_await answer(exchange, 404, {});
        co_return;
    }
    std::string rest = path.substr(ObjectsPath.size());
    const bool isStatus = rest.ends_with("/status");
    if (isStatus)
        rest.resize(rest.size() - std::string_view("/status").size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const Key key{kind, name};
    const std::string method(exchange.method());
    if (method == "GET" && name.empty() && !exchange.query("watch").empty()) {
        co_await watch(exchange, kind);
        co_return;
    }
    json::object result;
    unsigned status = 200;
    if (method == "GET" && name.empty()) {
        result = listing(kind);
    } else if (method == "GET") {
        if (m_fault == "slow-reads")
            co_await pause(SlowReadTime);
        const auto found = m_objects.find(key);
        status = found == m_objects.end() ? 404 : 200;
        if (status == 200)
            result = found->second;
    } else if (method == "DELETE") {
        status = m_objects.contains(key) ? 200 : 404;
        remove(key);
    } else {
        boost::system::error_code error;
        const json::value body = json::parse(exchange.body(), error);
        if (error || !body.is_object())
            status = 400;
        else if (method == "POST")
            status = create(kind, body.get_object(), result);
        else if (m_fault == "late-writes" && revisionOf(body.get_object()) != 0)
            co_await pause(LateWriteTime);
        if (status == 200 && method == "PUT")
            status = replace(key, isStatus ? "status" : "spec", body.get_object(), result);
    }
    if (m_fault == "slow-answers" && method != "GET")
        co_await pause(SlowReadTime);
    if (losesAnswer(method, kind, status)) {
        exchange.drop();
        co_return;
    }
    co_await answer(exchange, status, result);
}

bool SpaceStore::isDown() const
{
    return m_fault == "down" || std::chrono::steady_clock::now() < m_downUntil;
}

bool SpaceStore::losesAnswer(const std::string &method, const std::string &kind, unsigned status)
{
    if (m_fault == "unsure-create" && method == "POST" && kind == m_faultKind) {
        ++m_unsureWrites;
        if (m_unsureWrites == 2)
            m_downUntil = std::chrono::steady_clock::now() + UnsureDownTime;
        return m_unsureWrites == 1;
    }
    if (m_fault == "unsure-replace" && method == "PUT" && kind == m_faultKind) {
        ++m_unsureWrites;
        if (m_unsureWrites == 1)
            m_downUntil = std::chrono::steady_clock::now() + UnsureDownTime;
        return m_unsureWrites == 1;
    }
    const bool isLossy = m_fault == "lose" || m_fault == "late-writes";
    return isLossy && method != "GET" && status < 300;
}

json::object SpaceStore::listing(const std::string &kind) const
{
    json::array items;
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind)
            items.push_back(object);
    }
    return {{"items", std::move(items)}, {"has_more", false}, {"current_rev", m_revision}};
}

unsigned SpaceStore::create(const std::string &kind, const json::object &request,
                            json::object &result)
{
    const Key key{kind, nameOf(request)};
    if (key.second.empty())
        return 400;
    if (m_objects.contains(key)) {
        result = m_objects[key];
        return 409;
    }
    m_objects[key] = json::object{{"metadata", json::object{{"name", key.second}}},
                                  {"spec", fieldOf(request, "spec")},
                                  {"status", nullptr}};
    record(key, false);
    result = m_objects[key];
    return 201;
}

unsigned SpaceStore::replace(const Key &key, const std::string &field, const json::object &request,
                             json::object &result)
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return 404;
    result = found->second;
    const std::uint64_t expected = revisionOf(request);
    if (expected != 0 && expected != revisionOf(found->second))
        return 409;
    const json::value value = fieldOf(request, field);
    if (value == found->second[field])
        return 200;
    found->second[field] = value;
    record(key, false);
    result = found->second;
    return 200;
}

void SpaceStore::remove(const Key &key)
{
    if (!m_objects.contains(key))
        return;
    record(key, true);
    m_objects.erase(key);
}

void SpaceStore::record(const Key &key, bool isRemoved)
{
    json::object &object = m_objects[key];
    object["metadata"].as_object()["rev"] = ++m_revision;
    m_history.push_back({m_revision, key.first, isRemoved, object});
    if (m_history.size() > MostChanges)
        m_history.pop_front();
    m_changed.notifyAll();
}

json::array SpaceStore::changesSince(const std::string &kind, std::uint64_t revision) const
{
    json::array events;
    for (const Change &change : m_history) {
        if (change.revision > revision && change.kind == kind)
            events.push_back(
                    json::object{{"tombstone", change.isRemoved}, {"object", change.object}});
    }
    return events;
}

asio::awaitable<void> SpaceStore::watch(HttpExchange &exchange, const std::string &kind)
{
    const std::uint64_t after = std::stoull(exchange.query("watch"));
    const std::chrono::milliseconds wait(std::stoll(exchange.query("wait_ms", "1000")));
    const auto until = std::chrono::steady_clock::now() + wait;
    const int muteCount = m_muteCount;
    if (m_fault == "refuse-watches") {
        co_await answer(exchange, 503, {});
        co_return;
    }
    if (!m_history.empty() && m_history.front().revision > after + 1
        && m_history.size() >= MostChanges) {
        co_await answer(exchange, 410, {});
        co_return;
    }
    for (;;) {
        const auto generation = m_changed.generation();
        json::array events = changesSince(kind, after);
        const bool isOver = std::chrono::steady_clock::now() >= until;
        if (muteCount != m_muteCount) {
            co_await pause(MutedTime);
            exchange.drop();
            co_return;
        }
        if (!events.empty() && m_fault == "garble-watches") {
            co_await exchange.respond(200, "application/json", "{\"events\":[");
            co_return;
        }
        if (!events.empty() || isOver || m_fault == "down") {
            const json::object body{{"events", std::move(events)}, {"current_rev", m_revision}};
            co_await answer(exchange, 200, body);
            co_return;
        }
        co_await m_changed.wait(generation, until);
    }
}

} // namespace pistachiofall::standins
