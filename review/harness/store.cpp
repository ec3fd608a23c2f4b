#include "store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::string_view ObjectsPath = "/api/objects/";
constexpr std::chrono::milliseconds AnswerTime{4};
constexpr std::chrono::milliseconds LateTime{2500};
constexpr std::chrono::seconds SilentTime{60};
constexpr std::size_t MaxPageItems = 500;
constexpr std::size_t MaxPageBytes = 1'000'000;
constexpr std::size_t MaxChanges = 20'000;
constexpr std::string_view NameMark = "@NAME@";

const json::object &metadata(const json::object &object)
{
    static const json::object none;
    const json::value *found = object.if_contains("metadata");
    return found != nullptr && found->is_object() ? found->get_object() : none;
}

std::uint64_t revisionOf(const json::object &object)
{
    const json::value *found = metadata(object).if_contains("rev");
    return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

json::value field(const json::object &object, const char *name)
{
    const json::value *found = object.if_contains(name);
    return found == nullptr ? json::value() : *found;
}

std::string hexName(std::uint64_t number)
{
    // A permutation of the 64-bit numbers, so that the names lie evenly among random ones.
    number = (number + 1) * 0x9E3779B97F4A7C15U;
    number = (number ^ (number >> 31U)) * 0xBF58476D1CE4E5B9U;
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace

Store::Store()
    : m_listener([this](Exchange &exchange) { handle(exchange); })
{ }

void Store::record(const Key &key, bool isRemoved)
{
    json::object &object = m_objects[key];
    object["metadata"].as_object()["rev"] = ++m_revision;
    const json::object event{{"tombstone", isRemoved}, {"object", object}};
    m_history.push_back({m_revision, key.first, json::serialize(event)});
    if (m_history.size() > MaxChanges)
        m_history.pop_front();
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const json::value &spec)
{
    const std::scoped_lock lock(m_mutex);
    json::object &object = m_objects[{kind, name}];
    if (object.empty())
        object = {{"metadata",
                   json::object{{"name", name},
                                {"create_rev", m_revision + 1},
                                {"finalizers", json::array()},
                                {"deleting", false}}},
                  {"spec", nullptr},
                  {"status", nullptr}};
    object["spec"] = spec;
    record({kind, name});
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    record({kind, name}, true);
    m_objects.erase({kind, name});
}

json::object Store::get(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find({kind, name});
    return found == m_objects.end() ? json::object() : found->second;
}

void Store::multiply(const std::string &kind, const std::string &name, std::size_t count)
{
    const std::scoped_lock lock(m_mutex);
    json::object pattern = m_objects[{kind, name}];
    pattern["metadata"].as_object()["name"] = NameMark;
    const std::string text = json::serialize(pattern);
    const auto mark = text.find(NameMark);
    Copies &copies = m_copies[kind];
    copies.before = text.substr(0, mark);
    copies.after = text.substr(mark + NameMark.size());
    for (std::size_t index = 0; index < count; ++index)
        copies.names.push_back(hexName(index));
    std::sort(copies.names.begin(), copies.names.end());
}

std::size_t Store::pages(const std::string &kind)
{
    const std::scoped_lock lock(m_mutex);
    return m_pages[kind];
}

// One page of a listing, in the order of the names.
std::string Store::listing(const std::string &kind, const std::string &after)
{
    const std::scoped_lock lock(m_mutex);
    ++m_pages[kind];
    const Copies &copies = m_copies[kind];
    auto copy = std::upper_bound(copies.names.begin(), copies.names.end(), after);
    auto object = m_objects.upper_bound({kind, after});
    const auto hasObject = [&] { return object != m_objects.end() && object->first.first == kind; };
    std::string items;
    std::size_t count = 0;
    while ((copy != copies.names.end() || hasObject()) && count < MaxPageItems
           && items.size() < MaxPageBytes) {
        if (count++ > 0)
            items += ',';
        if (hasObject() && (copy == copies.names.end() || object->first.second < *copy)) {
            items += json::serialize(object->second);
            ++object;
        } else {
            items.append(copies.before).append(*copy).append(copies.after);
            ++copy;
        }
    }
    const bool hasMore = copy != copies.names.end() || hasObject();
    return R"({"items":[)" + items + R"(],"has_more":)" + (hasMore ? "true" : "false")
            + R"(,"current_rev":)" + std::to_string(m_revision) + "}";
}

int Store::create(const std::string &kind, const json::object &request, std::string &answer)
{
    const std::scoped_lock lock(m_mutex);
    const json::value *name = metadata(request).if_contains("name");
    if (name == nullptr || !name->is_string())
        return 400;
    const Key key{kind, std::string(name->get_string())};
    const bool isKnown = m_objects.contains(key);
    if (!isKnown) {
        m_objects[key] = {{"metadata",
                           json::object{{"name", key.second},
                                        {"create_rev", m_revision + 1},
                                        {"finalizers", json::array()},
                                        {"deleting", false}}},
                          {"spec", field(request, "spec")},
                          {"status", nullptr}};
        record(key);
    }
    answer = json::serialize(m_objects[key]);
    return isKnown ? 409 : 200;
}

int Store::replace(const Key &key, bool isStatus, const json::object &request, std::string &answer)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return 404;
    const std::uint64_t expected = revisionOf(request);
    const char *name = isStatus ? "status" : "spec";
    const bool isCurrent = expected == 0 || expected == revisionOf(found->second);
    if (isCurrent && field(found->second, name) != field(request, name)) {
        found->second[name] = field(request, name);
        record(key);
    }
    answer = json::serialize(found->second);
    return isCurrent ? 200 : 409;
}

void Store::watch(Exchange &exchange, const std::string &kind)
{
    const std::uint64_t after = std::strtoull(exchange.request.query("watch").c_str(), nullptr, 10);
    const std::chrono::milliseconds wait(
            std::strtoll(exchange.request.query("wait_ms").c_str(), nullptr, 10));
    const auto until = std::chrono::steady_clock::now() + wait;
    std::string events;
    std::uint64_t revision = 0;
    {
        std::unique_lock lock(m_mutex);
        const auto collect = [&] {
            for (auto change = m_history.rbegin();
                 change != m_history.rend() && change->revision > after; ++change) {
                if (change->kind == kind)
                    events.insert(0, events.empty() ? change->text : change->text + ",");
            }
            return !events.empty();
        };
        m_changed.wait_until(lock, until, collect);
        revision = m_revision;
    }
    exchange.respond(200,
                     R"({"events":[)" + events + R"(],"current_rev":)" + std::to_string(revision)
                             + "}");
}

int Store::write(const Key &key, bool isStatus, const Message &request, std::string &answer)
{
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object())
        return 400;
    if (request.method == "POST")
        return create(key.first, body.get_object(), answer);
    return replace(key, isStatus, body.get_object(), answer);
}

void Store::handle(Exchange &exchange)
{
    const Message &request = exchange.request;
    std::string rest = request.path();
    if (!rest.starts_with(ObjectsPath)) {
        exchange.respond(404, "{}");
        return;
    }
    rest.erase(0, ObjectsPath.size());
    const bool isStatus = rest.ends_with("/status");
    if (isStatus)
        rest.resize(rest.size() - std::string_view("/status").size());
    const auto slash = rest.find('/');
    const Key key{rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1)};
    if (request.method == "GET" && key.second.empty() && !request.query("watch").empty()) {
        watch(exchange, key.first);
        return;
    }
    const Fate decided = fate ? fate(request.method, key.first, key.second) : Fate::Answered;
    if (decided == Fate::Refused) {
        exchange.respond(503, "{}");
        return;
    }
    if (decided == Fate::Late)
        std::this_thread::sleep_for(LateTime);
    int status = 200;
    std::string answer = "{}";
    if (request.method == "GET" && key.second.empty()) {
        answer = listing(key.first, request.query("after"));
    } else if (request.method == "GET") {
        const json::object object = get(key.first, key.second);
        status = object.empty() ? 404 : 200;
        answer = json::serialize(object);
    } else if (decided != Fate::Silent) {
        status = write(key, isStatus, request, answer);
    }
    if (decided != Fate::Answered) {
        // The connection returns nothing further.
        std::this_thread::sleep_for(SilentTime);
        exchange.isLast = true;
        return;
    }
    std::this_thread::sleep_for(AnswerTime);
    exchange.respond(status, answer, {{"Content-Type", "application/json"}});
}

} // namespace review
