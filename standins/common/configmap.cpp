#include "common/configmap.h"

#include "common/objectnames.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace pistachiofall::standins {

namespace json = boost::json;

namespace {

ApiAnswer badRequest(const std::string &message)
{
    return statusAnswer(400, "BadRequest", message);
}

ApiAnswer invalid(const std::string &message)
{
    return statusAnswer(422, "Invalid", message);
}

ApiAnswer invalidLabel(const std::string &name, const std::string &value)
{
    return invalid("metadata.labels: '" + name + "=" + value + "'");
}

std::string textOf(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(text->data(), text->size()) : std::string();
}

const json::object *objectOf(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_object() : nullptr;
}

bool isBase64(std::string_view text)
{
    const auto end = text.find_last_not_of('=') + 1;
    return text.size() % 4 == 0 && text.size() - end <= 2
            && std::ranges::all_of(text.substr(0, end), [](char character) {
                   return (character >= 'a' && character <= 'z')
                           || (character >= 'A' && character <= 'Z')
                           || (character >= '0' && character <= '9') || character == '+'
                           || character == '/';
               });
}

std::optional<ApiAnswer> readLabels(const json::object &metadata, ConfigMap &configMap)
{
    const json::object *labels = objectOf(metadata, "labels");
    if (!labels)
        return std::nullopt;
    for (const auto &label : *labels) {
        const std::string name(label.key());
        const std::string value = textOf(*labels, name);
        if (!isLabelName(name) || !isLabelValue(value))
            return invalidLabel(name, value);
        configMap.labels.emplace(name, value);
    }
    return std::nullopt;
}

std::optional<ApiAnswer> readValues(ConfigMap &configMap)
{
    const json::object *values = objectOf(configMap.content, "binaryData");
    if (!values)
        return std::nullopt;
    for (const auto &value : *values) {
        const std::string text = textOf(*values, value.key());
        if (!value.value().is_string() || !isBase64(text))
            return badRequest("binaryData: '" + std::string(value.key()) + "' is not base64");
        configMap.size += text.size();
    }
    if (configMap.size > MaxConfigMapBytes)
        return invalid("binaryData: Too long: must have at most "
                       + std::to_string(MaxConfigMapBytes) + " bytes, has "
                       + std::to_string(configMap.size));
    return std::nullopt;
}

// The fields that are kept, always in the same order, so that equal objects have equal texts.
json::object normalizeMetadata(const json::object &metadata, const std::string &nameSpace)
{
    json::object kept;
    kept["name"] = textOf(metadata, "name");
    kept["namespace"] = nameSpace;
    kept["resourceVersion"] = "";
    for (const std::string_view name : {"labels", "annotations"}) {
        if (const json::object *entries = objectOf(metadata, name))
            kept[name] = *entries;
    }
    return kept;
}

} // namespace

std::variant<ConfigMap, ApiAnswer> ConfigMap::parse(std::string_view body,
                                                    std::string_view nameSpace)
{
    boost::system::error_code error;
    const json::value value = json::parse({body.data(), body.size()}, error);
    if (error || !value.is_object())
        return badRequest("the body is not a JSON object: " + error.message());
    ConfigMap configMap;
    configMap.content = value.get_object();
    if (textOf(configMap.content, "kind") != "ConfigMap"
        || textOf(configMap.content, "apiVersion") != "v1")
        return badRequest("the body is not a ConfigMap of version v1");
    const json::object *metadata = objectOf(configMap.content, "metadata");
    if (!metadata)
        return invalid("metadata.name: Required value");
    configMap.name = textOf(*metadata, "name");
    configMap.nameSpace = nameSpace;
    configMap.version = textOf(*metadata, "resourceVersion");
    if (!isObjectName(configMap.name))
        return invalid("metadata.name: Invalid value: '" + configMap.name + "'");
    const std::string namedSpace = textOf(*metadata, "namespace");
    if (!namedSpace.empty() && namedSpace != nameSpace)
        return badRequest("the namespace '" + namedSpace + "' is not that of the URL");
    if (auto refusal = readLabels(*metadata, configMap))
        return std::move(*refusal);
    if (auto refusal = readValues(configMap))
        return std::move(*refusal);
    configMap.content["metadata"] = normalizeMetadata(*metadata, configMap.nameSpace);
    return configMap;
}

PlatformObject ConfigMap::at(std::uint64_t revision) const
{
    json::object numbered = content;
    numbered["metadata"].as_object()["resourceVersion"] = std::to_string(revision);
    return {nameSpace, name, revision, labels, size, json::serialize(numbered)};
}

PlatformObject withRevision(const PlatformObject &object, std::uint64_t revision)
{
    json::value value = json::parse(object.json);
    value.as_object()["metadata"].as_object()["resourceVersion"] = std::to_string(revision);
    PlatformObject result = object;
    result.revision = revision;
    result.json = json::serialize(value);
    return result;
}

} // namespace pistachiofall::standins
