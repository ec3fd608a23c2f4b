#include "cli/instancestatus.h"

#include <boost/json.hpp>

namespace pistachiofall {

namespace json = boost::json;

namespace {

std::string stringAt(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

bool boolAt(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<std::int64_t> numberAt(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return std::nullopt;
    boost::system::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

EndpointStatus parseEndpoint(const json::object &object)
{
    EndpointStatus endpoint;
    endpoint.name = stringAt(object, "name");
    endpoint.owner = stringAt(object, "owner");
    endpoint.inFlight = numberAt(object, "inFlight");
    endpoint.limit = numberAt(object, "limit");
    endpoint.isFailureDomainOut = boolAt(object, "failureDomainOut");
    endpoint.isLeaving = boolAt(object, "leaving");
    return endpoint;
}

RolloutStatus parseRollout(const json::object &object)
{
    RolloutStatus rollout;
    rollout.model = stringAt(object, "model");
    rollout.version = stringAt(object, "version");
    rollout.current = numberAt(object, "current").value_or(0);
    rollout.changing = numberAt(object, "changing").value_or(0);
    rollout.pending = numberAt(object, "pending").value_or(0);
    rollout.unknown = numberAt(object, "unknown").value_or(0);
    rollout.failedEndpoint = stringAt(object, "failedEndpoint");
    return rollout;
}

} // namespace

Result<InstanceStatus> parseInstanceStatus(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return Error{ErrorCode::ProtocolError, "the status is not a JSON object"};
    const json::object &object = value.get_object();
    InstanceStatus status;
    status.instance = stringAt(object, "instance");
    status.failureDomain = stringAt(object, "failureDomain");
    status.notReady = stringAt(object, "notReady");
    status.rulesVersion = numberAt(object, "rulesVersion").value_or(0);
    status.tableEpoch = numberAt(object, "tableEpoch").value_or(0);
    status.firstPlaces = numberAt(object, "firstPlaces").value_or(0);
    status.secondPlaces = numberAt(object, "secondPlaces").value_or(0);
    status.isIsolated = boolAt(object, "isolated");
    const json::value *endpoints = object.if_contains("endpoints");
    if (endpoints != nullptr && endpoints->is_array()) {
        for (const json::value &entry : endpoints->get_array()) {
            if (entry.is_object())
                status.endpoints.push_back(parseEndpoint(entry.get_object()));
        }
    }
    const json::value *rollouts = object.if_contains("rollouts");
    if (rollouts != nullptr && rollouts->is_array()) {
        for (const json::value &entry : rollouts->get_array()) {
            if (entry.is_object())
                status.rollouts.push_back(parseRollout(entry.get_object()));
        }
    }
    return status;
}

} // namespace pistachiofall
