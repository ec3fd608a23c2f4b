#include "store/instancejson.h"

#include "store/jsonfields.h"

#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>

namespace pistachiofall::store::detail {

namespace json = boost::json;

namespace {

std::optional<std::uint64_t> parseVersion(const std::string &text)
{
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return version;
}

// The number of the slice's port with the name, as text; empty when there is none.
std::string portNamed(const json::value &slice, std::string_view name)
{
    for (const json::value &port : arrayField(slice, {"ports"})) {
        const json::value *number = findField(port, {"port"});
        if (number && number->is_int64() && textField(port, {"name"}) == name)
            return std::to_string(number->get_int64());
    }
    return {};
}

std::string joinAddress(const std::string &host, const std::string &port)
{
    const bool isV6 = host.find(':') != std::string::npos;
    return (isV6 ? "[" + host + "]" : host) + ":" + port;
}

Result<ListedInstance> decodeEndpoint(const json::value &slice, const json::value &endpoint)
{
    ListedInstance instance;
    instance.name = textField(endpoint, {"targetRef", "name"});
    instance.failureDomain = textField(endpoint, {"zone"});
    const json::array &addresses = arrayField(endpoint, {"addresses"});
    const auto *host = addresses.empty() ? nullptr : addresses.front().if_string();
    const std::string peerPort = portNamed(slice, "peer");
    const std::string adminPort = portNamed(slice, "admin");
    if (instance.name.empty() || !host || peerPort.empty() || adminPort.empty())
        return Error{ErrorCode::ProtocolError,
                     "endpoint '" + instance.name
                             + "' of the instance list lacks a name, an address, or a port named "
                               "'peer' or 'admin'"};
    instance.peerAddress = joinAddress(std::string(host->c_str()), peerPort);
    instance.adminAddress = joinAddress(std::string(host->c_str()), adminPort);
    const json::value *terminating = findField(endpoint, {"conditions", "terminating"});
    instance.leaving = terminating && terminating->is_bool() && terminating->get_bool();
    return instance;
}

} // namespace

Result<InstanceList> decodeInstances(std::string_view text)
{
    const Result<json::value> value = parseJson(text);
    if (!isOk(value))
        return errorOf(value);
    const std::string versionText = textField(valueOf(value), {"metadata", "resourceVersion"});
    const auto version = parseVersion(versionText);
    if (!version)
        return Error{ErrorCode::ProtocolError,
                     "the resourceVersion '" + versionText
                             + "' of the instance list is not a number"};
    const json::array *slices = listItems(valueOf(value));
    if (!slices)
        return Error{ErrorCode::ProtocolError, "the instance list has no items"};
    std::map<std::string, ListedInstance> instances;
    for (const json::value &slice : *slices) {
        for (const json::value &endpoint : arrayField(slice, {"endpoints"})) {
            Result<ListedInstance> instance = decodeEndpoint(slice, endpoint);
            if (!isOk(instance))
                return errorOf(instance);
            const std::string name = valueOf(instance).name;
            instances.insert_or_assign(name, valueOf(std::move(instance)));
        }
    }
    InstanceList list;
    list.version = *version;
    for (auto &[name, instance] : instances)
        list.instances.push_back(std::move(instance));
    return list;
}

} // namespace pistachiofall::store::detail
