#include "batch/batchitem.h"

#include "batch/rawjson.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/string.hpp>

namespace pistachiofall {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxDepth = 64;
constexpr std::string_view CustomIdMember = "custom_id";
constexpr std::string_view PathMember = "path";
constexpr std::string_view BodyMember = "body";

Error invalidItem(const std::string &what)
{
    return {ErrorCode::InvalidArgument, "batch item " + what};
}

std::string textOf(const json::string &value)
{
    return {value.data(), value.size()};
}

Result<std::string> readCustomId(const json::object &object)
{
    const auto *value = object.if_contains("custom_id");
    const auto *text = value != nullptr ? value->if_string() : nullptr;
    if (text == nullptr || text->empty() || text->size() > MaxCustomIdBytes) {
        return invalidItem("requires custom_id to be a string of 1 to "
                           + std::to_string(MaxCustomIdBytes) + " bytes");
    }
    return textOf(*text);
}

Result<std::string> readPath(const json::object &object)
{
    const auto *value = object.if_contains("path");
    if (value == nullptr)
        return std::string(DefaultItemPath);
    const auto *text = value->if_string();
    if (text == nullptr || !text->starts_with('/') || text->size() > MaxItemPathBytes) {
        return invalidItem("requires path to be a string that starts with '/' and has at most "
                           + std::to_string(MaxItemPathBytes) + " bytes");
    }
    for (const char character : *text) {
        if (static_cast<unsigned char>(character) <= ' ' || character == '\x7f')
            return invalidItem("has a path with a space or a control character");
    }
    return textOf(*text);
}

Result<Done> checkMembers(const json::object &object)
{
    for (const auto &member : object) {
        const std::string_view name(member.key().data(), member.key().size());
        if (name != CustomIdMember && name != PathMember && name != BodyMember) {
            return invalidItem("has the unknown member '"
                               + std::string(name.substr(0, MaxCustomIdBytes))
                               + "'; allowed are custom_id, path and body");
        }
    }
    return Done{};
}

} // namespace

Result<BatchItem> parseBatchItem(std::string_view line)
{
    if (line.size() > MaxItemBytes) {
        return invalidItem("has " + std::to_string(line.size()) + " bytes; at most "
                           + std::to_string(MaxItemBytes) + " are accepted");
    }
    json::parse_options options;
    options.max_depth = MaxDepth;
    boost::system::error_code error;
    const json::value value = json::parse({line.data(), line.size()}, error, {}, options);
    const json::object *object = error ? nullptr : value.if_object();
    if (object == nullptr)
        return invalidItem("is not a JSON object"
                           + (error ? ": " + error.message() : std::string()));
    if (auto checked = checkMembers(*object); !isOk(checked))
        return errorOf(checked);
    auto customId = readCustomId(*object);
    if (!isOk(customId))
        return errorOf(customId);
    auto path = readPath(*object);
    if (!isOk(path))
        return errorOf(path);
    const auto *body = object->if_contains("body");
    const std::string_view raw = batch::detail::rawMember(line, BodyMember);
    if (body == nullptr || !body->is_object() || raw.empty())
        return invalidItem("requires body to be a JSON object");
    return BatchItem{valueOf(std::move(customId)), valueOf(std::move(path)), std::string(raw)};
}

} // namespace pistachiofall
