#include "store/objectjson.h"

#include "store/base64.h"
#include "store/jsonfields.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::store::detail {

namespace json = boost::json;

namespace {

constexpr std::string_view DataKey = "data";

std::map<std::string, std::string> decodeLabels(const json::value &value)
{
    std::map<std::string, std::string> labels;
    const auto *field = findField(value, {"metadata", "labels"});
    const auto *object = field ? field->if_object() : nullptr;
    if (!object)
        return labels;
    for (const auto &entry : *object) {
        if (const auto *text = entry.value().if_string())
            labels.emplace(std::string(entry.key()), std::string(text->data(), text->size()));
    }
    return labels;
}

} // namespace

std::string encodeObject(const StoredObject &object, std::string_view nameSpace)
{
    json::object metadata;
    metadata["name"] = object.name;
    metadata["namespace"] = json::string_view(nameSpace.data(), nameSpace.size());
    if (!object.version.empty())
        metadata["resourceVersion"] = object.version;
    if (!object.labels.empty()) {
        json::object labels;
        for (const auto &[name, value] : object.labels)
            labels[name] = value;
        metadata["labels"] = std::move(labels);
    }
    json::object binaryData;
    binaryData[DataKey] = encodeBase64(object.data);
    json::object configMap;
    configMap["apiVersion"] = "v1";
    configMap["kind"] = "ConfigMap";
    configMap["metadata"] = std::move(metadata);
    configMap["binaryData"] = std::move(binaryData);
    return json::serialize(configMap);
}

Result<StoredObject> decodeObject(const json::value &value)
{
    StoredObject object;
    object.name = textField(value, {"metadata", "name"});
    object.version = textField(value, {"metadata", "resourceVersion"});
    if (object.name.empty() || object.version.empty())
        return Error{ErrorCode::ProtocolError,
                     "the store's object '" + object.name + "' has no name or no resourceVersion"};
    object.labels = decodeLabels(value);
    auto data = decodeBase64(textField(value, {"binaryData", DataKey}));
    if (!data)
        return Error{ErrorCode::ProtocolError,
                     "the data of the store's object '" + object.name + "' is not base64"};
    object.data = std::move(*data);
    return object;
}

Result<StoredObject> decodeObjectText(std::string_view text)
{
    const Result<json::value> value = parseJson(text);
    if (!isOk(value))
        return errorOf(value);
    return decodeObject(valueOf(value));
}

Result<ObjectList> decodeObjectList(std::string_view text)
{
    const Result<json::value> value = parseJson(text);
    if (!isOk(value))
        return errorOf(value);
    ObjectList list;
    list.version = textField(valueOf(value), {"metadata", "resourceVersion"});
    const json::array *items = listItems(valueOf(value));
    if (list.version.empty() || !items)
        return Error{ErrorCode::ProtocolError, "the store's list has no resourceVersion or items"};
    for (const json::value &item : *items) {
        Result<StoredObject> object = decodeObject(item);
        if (!isOk(object))
            return errorOf(object);
        list.objects.push_back(valueOf(std::move(object)));
    }
    return list;
}

} // namespace pistachiofall::store::detail
