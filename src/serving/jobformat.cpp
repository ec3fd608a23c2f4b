#include "serving/jobformat.h"

#include "store/base64.h"
#include "store/jsonfields.h"

#include <algorithm>
#include <limits>
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

// Allowance in bytes for field names and punctuation.
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

std::size_t estimateSize(const JobItem &item)
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
        return Error{ErrorCode::ProtocolError,
                     "a stored item lacks its id or path, or its body is invalid"};
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

json::array encodeFailures(const std::map<std::string, ItemFailures> &failures)
{
    json::array encoded;
    for (const auto &[item, known] : failures)
        encoded.push_back(json::object{
                {"id", item}, {"count", known.count}, {"unprocessable", known.isUnprocessable}});
    return encoded;
}

json::object encodeStatus(const JobRecord &record)
{
    json::array parts;
    for (const std::size_t count : record.resultParts)
        parts.emplace_back(static_cast<std::int64_t>(count));
    json::array results;
    const std::size_t left = record.resultsInParts() - record.missingResults;
    for (std::size_t index = left; index < record.results.size(); ++index)
        results.push_back(encodeResult(record.results[index]));
    json::object status{{"owner", record.owner},
                        {"ended", record.hasEnded},
                        {"parts", std::move(parts)},
                        {"results", std::move(results)}};
    if (!record.failures.empty())
        status["failures"] = encodeFailures(record.failures);
    return status;
}

bool boolField(const json::value &value, std::string_view name)
{
    const json::value *field = findField(value, {name});
    return field != nullptr && field->is_bool() && field->get_bool();
}

JobResult decodeResult(const json::value &value)
{
    return {textField(value, {"id"}), boolField(value, "dead"), textField(value, {"output"})};
}

ItemFailures decodeFailures(const json::value &value)
{
    const std::int64_t count = integerField(value, "count");
    constexpr std::int64_t MaxCount = std::numeric_limits<int>::max();
    return {static_cast<int>(std::clamp<std::int64_t>(count, 0, MaxCount)),
            boolField(value, "unprocessable")};
}

void decodeStatus(const json::value &status, JobRecord &record)
{
    const std::string owner = textField(status, {"owner"});
    if (!owner.empty())
        record.owner = owner;
    record.hasEnded = boolField(status, "ended");
    for (const json::value &count : arrayField(status, {"parts"}))
        record.resultParts.push_back(count.is_int64() ? static_cast<std::size_t>(count.get_int64())
                                                      : 0);
    for (const json::value &each : arrayField(status, {"results"}))
        record.results.push_back(decodeResult(each));
    for (const json::value &each : arrayField(status, {"failures"})) {
        const ItemFailures failures = decodeFailures(each);
        if (failures.hasAny())
            record.failures[textField(each, {"id"})] = failures;
    }
    record.missingResults = record.resultsInParts();
    record.storedResults = record.resultCount();
}

} // namespace

SpaceObject encodeJobRecord(const JobRecord &record)
{
    const auto submitted = std::chrono::duration_cast<std::chrono::milliseconds>(
            record.submitted.time_since_epoch());
    SpaceObject object;
    object.name = record.id;
    object.revision = record.revision;
    object.spec = json::object{{"organisation", record.organisation},
                               {"host", record.host},
                               {"prefix", record.pathPrefix},
                               {"items", static_cast<std::int64_t>(record.itemCount)},
                               {"parts", static_cast<std::int64_t>(record.partCount)},
                               {"submitted_ms", submitted.count()},
                               {"due_ms", record.dueAfter.count()},
                               {"retention_ms", record.retention.count()},
                               {"owner", record.owner}};
    object.status = encodeStatus(record);
    return object;
}

Result<JobRecord> decodeJobRecord(const SpaceObject &object)
{
    JobRecord record;
    record.id = object.name;
    record.revision = object.revision;
    record.organisation = textField(object.spec, {"organisation"});
    record.host = textField(object.spec, {"host"});
    record.pathPrefix = textField(object.spec, {"prefix"});
    record.itemCount = static_cast<std::size_t>(integerField(object.spec, "items"));
    record.partCount = static_cast<std::size_t>(integerField(object.spec, "parts"));
    record.submitted = std::chrono::system_clock::time_point(
            std::chrono::milliseconds(integerField(object.spec, "submitted_ms")));
    record.dueAfter = std::chrono::milliseconds(integerField(object.spec, "due_ms"));
    record.retention = std::chrono::milliseconds(integerField(object.spec, "retention_ms"));
    record.owner = textField(object.spec, {"owner"});
    if (record.itemCount == 0 || record.host.empty())
        return Error{ErrorCode::ProtocolError, "object '" + object.name + "' is not a batch job"};
    decodeStatus(object.status, record);
    return record;
}

std::string encodeJobText(const JobRecord &record)
{
    SpaceObject object = encodeJobRecord(record);
    return json::serialize(json::object{{"name", std::move(object.name)},
                                        {"revision", static_cast<std::int64_t>(object.revision)},
                                        {"spec", std::move(object.spec)},
                                        {"status", std::move(object.status)}});
}

Result<JobRecord> decodeJobText(std::string_view text)
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
    return decodeJobRecord(object);
}

std::size_t encodedSize(const JobResult &result)
{
    // An escaped byte takes at most six bytes (\u00XX).
    std::size_t size = result.itemId.size() + FieldOverhead;
    for (const char byte : result.output) {
        const bool isPlain =
                byte != '"' && byte != '\\' && static_cast<unsigned char>(byte) >= 0x20;
        size += isPlain ? 1 : 6;
    }
    return size;
}

std::size_t encodedSize(const std::map<std::string, ItemFailures> &failures)
{
    std::size_t size = 0;
    for (const auto &[item, known] : failures)
        size += item.size() + FieldOverhead;
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
        return Error{ErrorCode::ProtocolError, "a stored results part has no results"};
    return results;
}

std::vector<json::value> encodeJobItems(const std::vector<JobItem> &items, std::size_t maxPartBytes)
{
    std::vector<json::value> parts;
    json::array part;
    std::size_t size = 0;
    for (const JobItem &item : items) {
        if (!part.empty() && size + estimateSize(item) > maxPartBytes) {
            parts.emplace_back(json::object{{"items", std::exchange(part, json::array())}});
            size = 0;
        }
        size += estimateSize(item);
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
