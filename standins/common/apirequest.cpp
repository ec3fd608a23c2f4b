#include "common/apirequest.h"

#include "common/queryvalues.h"

#include <string_view>
#include <utility>

namespace pistachiofall::standins {

namespace {

constexpr std::string_view ConfigMapsPrefix = "/api/v1/namespaces/";
constexpr std::string_view SlicesPrefix = "/apis/discovery.k8s.io/v1/namespaces/";
constexpr std::string_view NameField = "metadata.name=";
// The real API takes a random time of this order when a watch names none.
constexpr std::chrono::seconds DefaultWatchTimeout{1800};

ApiAnswer badRequest(const std::string &message)
{
    return statusAnswer(400, "BadRequest", message);
}

// Reads "NS/COLLECTION" or "NS/COLLECTION/NAME"; false when it is neither.
bool readPath(std::string_view path, std::string_view collection, ObjectSelection &selection)
{
    const auto slash = path.find('/');
    if (slash == std::string_view::npos || slash == 0)
        return false;
    selection.nameSpace = path.substr(0, slash);
    path.remove_prefix(slash + 1);
    if (!path.starts_with(collection))
        return false;
    path.remove_prefix(collection.size());
    if (path.empty())
        return true;
    selection.name = path.substr(1);
    return path.front() == '/' && !selection.name.empty()
            && selection.name.find('/') == std::string::npos;
}

std::optional<ApiRequest::Kind> objectKind(std::string_view method, bool hasName, bool isWatch)
{
    if (method == "GET" && hasName)
        return ApiRequest::Kind::Get;
    if (method == "GET")
        return isWatch ? ApiRequest::Kind::Watch : ApiRequest::Kind::List;
    if (method == "POST" && !hasName)
        return ApiRequest::Kind::Create;
    if (method == "PUT" && hasName)
        return ApiRequest::Kind::Update;
    if (method == "DELETE" && hasName)
        return ApiRequest::Kind::Remove;
    return std::nullopt;
}

std::optional<ApiAnswer> readSelectors(const HttpExchange &exchange, ApiRequest &request)
{
    auto labels = LabelSelector::parse(exchange.query("labelSelector"));
    if (!isOk(labels))
        return badRequest("unable to parse labelSelector: " + errorOf(labels).message);
    request.selection.labels = valueOf(std::move(labels));
    const std::string field = exchange.query("fieldSelector");
    if (field.empty())
        return std::nullopt;
    if (!field.starts_with(NameField))
        return badRequest("field label not supported: '" + field + "'");
    request.selection.name = field.substr(NameField.size());
    return std::nullopt;
}

std::optional<ApiAnswer> readWatch(const HttpExchange &exchange, ApiRequest &request)
{
    // The API takes version 0 as "any state will do".
    const std::string version = exchange.query("resourceVersion", "0");
    const auto revision = parseNumber("resourceVersion", version);
    const auto timeout = parseNumber("timeoutSeconds", exchange.query("timeoutSeconds", "0"));
    if (!isOk(revision))
        return badRequest(errorOf(revision).message);
    if (!isOk(timeout))
        return badRequest(errorOf(timeout).message);
    if (valueOf(revision) > 0)
        request.fromRevision = valueOf(revision);
    request.watchTimeout = std::chrono::seconds(valueOf(timeout));
    if (valueOf(timeout) == 0)
        request.watchTimeout = DefaultWatchTimeout;
    return std::nullopt;
}

} // namespace

std::variant<ApiRequest, ApiAnswer> ApiRequest::parse(const HttpExchange &exchange)
{
    ApiRequest request;
    const std::string_view path = exchange.path();
    const std::string watch = exchange.query("watch");
    const bool isWatch = watch == "1" || watch == "true";
    std::optional<Kind> kind;
    if (path.starts_with(ConfigMapsPrefix)
        && readPath(path.substr(ConfigMapsPrefix.size()), "configmaps", request.selection))
        kind = objectKind(exchange.method(), !request.selection.name.empty(), isWatch);
    else if (path.starts_with(SlicesPrefix)
             && readPath(path.substr(SlicesPrefix.size()), "endpointslices", request.selection)
             && exchange.method() == "GET" && request.selection.name.empty() && !isWatch)
        kind = Kind::Instances;
    if (!kind)
        return statusAnswer(404, "NotFound", "the stand-in has no such call");
    request.kind = *kind;
    if (*kind == Kind::List || *kind == Kind::Watch || *kind == Kind::Instances) {
        if (auto refusal = readSelectors(exchange, request))
            return std::move(*refusal);
    }
    if (*kind == Kind::Watch) {
        if (auto refusal = readWatch(exchange, request))
            return std::move(*refusal);
    }
    return request;
}

bool ApiRequest::isWrite() const
{
    return kind == Kind::Create || kind == Kind::Update || kind == Kind::Remove;
}

std::string ApiRequest::kindName() const
{
    switch (kind) {
    case Kind::Get:
        return "get";
    case Kind::List:
        return "list";
    case Kind::Watch:
        return "watch";
    case Kind::Create:
        return "create";
    case Kind::Update:
        return "update";
    case Kind::Remove:
        return "remove";
    case Kind::Instances:
        return "instances";
    }
    return "unknown";
}

} // namespace pistachiofall::standins
