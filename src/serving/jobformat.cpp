#include "serving/jobformat.h"

#include "store/base64.h"
#include "store/jsonfields.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall {

namespace json = boost::json;
using store::detail::arrayField;
using store::detail::findField;
using store::detail::textField;

namespace {

constexpr std::size_t FieldOverhead = 64;

std::int64_t integerField(const json::value &value, std::string_view name)
{
    const json::value *field = findField(value, {name});
    return field != nullptr && field->is_int64() ? field->get_int64() : 0;
}

json::object encodeItem(const JobItem &item)
{
    json::array headers;
    for (const HttpHeader &field : item.headers)
        headers.push_back(json::array{field.name, field.value});
    return {{"id", item.id},
            {"path", item.path},
            {"headers", std::move(headers)},
            {"body", store::detail::encodeBase64(item.body)}};
}

std::size_t sizeOf(const JobItem &item)
{
    std::size_t size = item.id.size() + item.path.size() + item.body.size() * 4 / 3 + FieldOverhead;
    for (const HttpHeader &field : item.headers)
        size += field.name.size() + field.value.size() + FieldOverhead;
    return size;
}

Result<JobItem> decodeItem(const json::value &value)
{
    JobItem item;
    item.id = textField(value, {"id"});
    item.path = textField(value, {"path"});
    auto body = store::detail::decodeBase64(textField(value, {"body"}));
    if (item.id.empty() || item.path.empty() || !body)
        return Error{ErrorCode::ProtocolError, "a stored item has no id, path or body"};
    item.body = std::move(*body);
    for (const json::value &field : arrayField(value, {"headers"})) {
        const json::array *pair = field.if_array();
        if (pair != nullptr && pair->size() == 2 && (*pair)[0].is_string()
            && (*pair)[1].is_string())
            item.headers.add(std::string((*pair)[0].get_string()),
                             std::string((*pair)[1].get_string()));
    }
    return item;
}

json::object encodeResult(const JobResult &result)
{
    return {{"id", result.itemId}, {"dead", result.isDead}, {"output", result.output}};
}

json::object encodeStatus(const JobHead &head)
{
    json::array parts;
    for (const std::size_t count : head.resultParts)
        parts.emplace_back(static_cast<std::int64_t>(count));
    json::array results;
    const std::size_t left = head.resultsInParts() - head.missingResults;
    for (std::size_t index = left; index < head.results.size(); ++index)
        results.push_back(encodeResult(head.results[index]));
    return {{"owner", head.owner},
            {"ended", head.hasEnded},
            {"parts", std::move(parts)},
            {"results", std::move(results)}};
}

bool flagField(const json::value &value, std::string_view name)
{
    const json::value *field = findField(value, {name});
    return field != nullptr && field->is_bool() && field->get_bool();
}

JobResult decodeResult(const json::value &value)
{
    return {textField(value, {"id"}), flagField(value, "dead"), textField(value, {"output"})};
}

void decodeStatus(const json::value &status, JobHead &head)
{
    const std::string owner = textField(status, {"owner"});
    if (!owner.empty())
        head.owner = owner;
    head.hasEnded = flagField(status, "ended");
    for (const json::value &count : arrayField(status, {"parts"}))
        head.resultParts.push_back(count.is_int64() ? static_cast<std::size_t>(count.get_int64())
                                                    : 0);
    for (const json::value &each : arrayField(status, {"results"}))
        head.results.push_back(decodeResult(each));
    head.missingResults = head.resultsInParts();
    head.storedResults = head.resultCount();
}

} // namespace

SpaceObject encodeJobHead(const JobHead &head)
{
    const auto submitted = std::chrono::duration_cast<std::chrono::milliseconds>(
            head.submitted.time_since_epoch());
    SpaceObject object;
    object.name = head.id;
    object.revision = head.revision;
    object.spec = json::object{{"organisation", head.organisation},
                               {"host", head.host},
                               {"prefix", head.pathPrefix},
                               {"items", static_cast<std::int64_t>(head.itemCount)},
                               {"parts", static_cast<std::int64_t>(head.partCount)},
                               {"submitted_ms", submitted.count()},
                               {"due_ms", head.dueAfter.count()},
                               {"retention_ms", head.retention.count()},
                               {"owner", head.owner}};
    object.status = encodeStatus(head);
    return object;
}

Result<JobHead> decodeJobHead(const SpaceObject &object)
{
    JobHead head;
    head.id = object.name;
    head.revision = object.revision;
    head.organisation = textField(object.spec, {"organisation"});
    head.host = textField(object.spec, {"host"});
    head.pathPrefix = textField(object.spec, {"prefix"});
    head.itemCount = static_cast<std::size_t>(integerField(object.spec, "items"));
    head.partCount = static_cast<std::size_t>(integerField(object.spec, "parts"));
    head.submitted = std::chrono::system_clock::time_point(
            std::chrono::milliseconds(integerField(object.spec, "submitted_ms")));
    head.dueAfter = std::chrono::milliseconds(integerField(object.spec, "due_ms"));
    head.retention = std::chrono::milliseconds(integerField(object.spec, "retention_ms"));
    head.owner = textField(object.spec, {"owner"});
    if (head.itemCount == 0 || head.host.empty())
        return Error{ErrorCode::ProtocolError, "object '" + object.name + "' is no batch job"};
    decodeStatus(object.status, head);
    return head;
}

std::string encodeJobText(const JobHead &head)
{
    SpaceObject object = encodeJobHead(head);
    return json::serialize(json::object{{"name", std::move(object.name)},
                                        {"revision", static_cast<std::int64_t>(object.revision)},
                                        {"spec", std::move(object.spec)},
                                        {"status", std::move(object.status)}});
}

Result<JobHead> decodeJobText(std::string_view text)
{
    const auto value = store::detail::parseJson(text);
    if (!isOk(value))
        return errorOf(value);
    SpaceObject object;
    object.name = textField(valueOf(value), {"name"});
    object.revision = static_cast<std::uint64_t>(integerField(valueOf(value), "revision"));
    if (const json::value *spec = findField(valueOf(value), {"spec"}))
        object.spec = *spec;
    if (const json::value *status = findField(valueOf(value), {"status"}))
        object.status = *status;
    return decodeJobHead(object);
}

std::size_t encodedSize(const JobResult &result)
{
    // A byte takes six at most, as an escape.
    std::size_t size = result.itemId.size() + FieldOverhead;
    for (const char byte : result.output) {
        const bool isPlain =
                byte != '"' && byte != '\\' && static_cast<unsigned char>(byte) >= 0x20;
        size += isPlain ? 1 : 6;
    }
    return size;
}

json::value encodeJobResults(const std::vector<JobResult> &results)
{
    json::array encoded;
    for (const JobResult &result : results)
        encoded.push_back(encodeResult(result));
    return json::object{{"results", std::move(encoded)}};
}

Result<std::vector<JobResult>> decodeJobResults(const json::value &part)
{
    std::vector<JobResult> results;
    for (const json::value &each : arrayField(part, {"results"}))
        results.push_back(decodeResult(each));
    if (results.empty())
        return Error{ErrorCode::ProtocolError, "an object of results holds none"};
    return results;
}

std::vector<json::value> encodeJobItems(const std::vector<JobItem> &items, std::size_t maxPartBytes)
{
    std::vector<json::value> parts;
    json::array part;
    std::size_t size = 0;
    for (const JobItem &item : items) {
        if (!part.empty() && size + sizeOf(item) > maxPartBytes) {
            parts.emplace_back(json::object{{"items", std::exchange(part, json::array())}});
            size = 0;
        }
        size += sizeOf(item);
        part.push_back(encodeItem(item));
    }
    parts.emplace_back(json::object{{"items", std::move(part)}});
    return parts;
}

Result<Done> decodeJobItems(const json::value &part, std::vector<JobItem> &items)
{
    for (const json::value &each : arrayField(part, {"items"})) {
        auto item = decodeItem(each);
        if (!isOk(item))
            return errorOf(item);
        items.push_back(valueOf(std::move(item)));
    }
    return Done{};
}

} // namespace pistachiofall
