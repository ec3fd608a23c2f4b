#include "store/objectstore.h"

#include "base/socketaddress.h"
#include "store/callerror.h"
#include "store/httpcall.h"
#include "store/instancejson.h"
#include "store/objectjson.h"
#include "store/percentencoding.h"
#include "store/storemetrics.h"
#include "store/watchcall.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using store::detail::CallKind;
using store::detail::HttpAnswer;
using store::detail::HttpRequest;

struct ObjectStore::Data
{
    Data(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint,
         const StoreSettings &storeSettings, const Clock &storeClock, MetricsRegistry &registry)
        : pool(std::make_shared<store::detail::ConnectionPool>(executor, endpoint, storeClock))
        , settings(storeSettings)
        , clock(storeClock)
        , metrics(registry)
        , objectsPath("/api/v1/namespaces/" + store::detail::percentEncode(settings.nameSpace)
                      + "/configmaps")
        , instancesPath("/apis/discovery.k8s.io/v1/namespaces/"
                        + store::detail::percentEncode(settings.nameSpace) + "/endpointslices")
    { }

    std::string objectPath(const std::string &name) const
    {
        return objectsPath + "/" + store::detail::percentEncode(name);
    }

    // Runs a call under the metrics. A cancelled coroutine leaves by an exception; it becomes an
    // error here.
    template<typename T>
    static Async<T> measure(std::shared_ptr<Data> data, CallKind kind, Async<T> call)
    {
        data->metrics.recordStart(kind);
        const auto start = data->clock.now();
        Result<T> result = Error{};
        try {
            result = co_await std::move(call);
        } catch (const boost::system::system_error &error) {
            result = store::detail::connectionError(kind, true, error.code());
        }
        std::optional<ErrorCode> code;
        if (!isOk(result))
            code = errorOf(result).code;
        data->metrics.recordEnd(kind, data->clock.now() - start, code);
        co_return result;
    }

    // Runs one HTTP call and gives the body of a successful answer to the decoder. What a write
    // answers must be readable too, or its effect is unknown.
    template<typename T>
    static Async<T> call(std::shared_ptr<Data> data, CallKind kind, HttpRequest request,
                         Result<T> (*decode)(std::string_view))
    {
        const Result<HttpAnswer> answer = co_await store::detail::httpCall(
                data->pool, kind, std::move(request), data->settings.callTimeout);
        if (!isOk(answer))
            co_return errorOf(answer);
        const HttpAnswer &complete = valueOf(answer);
        if (complete.status < 200 || complete.status >= 300)
            co_return store::detail::answerError(kind, complete.status, complete.body);
        Result<T> decoded = decode(complete.body);
        if (!isOk(decoded) && store::detail::isWrite(kind))
            co_return Error{ErrorCode::OutcomeUnknown, errorOf(decoded).message};
        co_return decoded;
    }

    template<typename T>
    static Async<T> run(const std::shared_ptr<Data> &data, CallKind kind, http::verb verb,
                        const std::string &target, std::string body,
                        Result<T> (*decode)(std::string_view))
    {
        auto request =
                store::detail::makeRequest(verb, target, data->pool->host(), std::move(body));
        return measure<T>(data, kind, call<T>(data, kind, std::move(request), decode));
    }

    std::shared_ptr<store::detail::ConnectionPool> pool;
    const StoreSettings settings;
    const Clock &clock;
    store::detail::StoreMetrics metrics;
    const std::string objectsPath;
    const std::string instancesPath;
};

namespace {

// The Service that the platform keeps the endpoint slices of the instances for.
constexpr std::string_view InstanceService = "pistachiofall";

Result<Done> acceptAnyBody(std::string_view)
{
    return Done{};
}

std::string encodeDeleteOptions(const std::string &version)
{
    boost::json::object options;
    options["apiVersion"] = "v1";
    options["kind"] = "DeleteOptions";
    if (!version.empty())
        options["preconditions"] = boost::json::object{{"resourceVersion", version}};
    return boost::json::serialize(options);
}

template<typename T>
ObjectStore::Async<T> fail(Error error)
{
    co_return error;
}

} // namespace

Result<std::shared_ptr<ObjectStore>> ObjectStore::create(const asio::any_io_executor &executor,
                                                         const StoreSettings &settings,
                                                         const Clock &clock,
                                                         MetricsRegistry &metrics)
{
    const auto address = SocketAddress::parse(settings.address);
    if (!isOk(address))
        return errorOf(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(valueOf(address).host()),
                                           valueOf(address).port());
    auto data = std::make_shared<Data>(executor, endpoint, settings, clock, metrics);
    return std::shared_ptr<ObjectStore>(new ObjectStore(std::move(data)));
}

ObjectStore::ObjectStore(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{ }

ObjectStore::~ObjectStore() = default;

ObjectStore::Async<StoredObject> ObjectStore::get(std::string name)
{
    return Data::run<StoredObject>(m_data, CallKind::Get, http::verb::get, m_data->objectPath(name),
                                   {}, store::detail::decodeObjectText);
}

ObjectStore::Async<StoredObject> ObjectStore::create(StoredObject object)
{
    object.version.clear();
    std::string body = store::detail::encodeObject(object, m_data->settings.nameSpace);
    return Data::run<StoredObject>(m_data, CallKind::Create, http::verb::post, m_data->objectsPath,
                                   std::move(body), store::detail::decodeObjectText);
}

ObjectStore::Async<StoredObject> ObjectStore::update(StoredObject object)
{
    // The API takes an update without a version as unconditional.
    if (object.version.empty())
        return fail<StoredObject>(
                {ErrorCode::InvalidArgument, "update of '" + object.name + "' without a version"});
    std::string body = store::detail::encodeObject(object, m_data->settings.nameSpace);
    return Data::run<StoredObject>(m_data, CallKind::Update, http::verb::put,
                                   m_data->objectPath(object.name), std::move(body),
                                   store::detail::decodeObjectText);
}

ObjectStore::Async<Done> ObjectStore::remove(std::string name, std::string version)
{
    return Data::run<Done>(m_data, CallKind::Remove, http::verb::delete_, m_data->objectPath(name),
                           encodeDeleteOptions(version), acceptAnyBody);
}

ObjectStore::Async<ObjectList> ObjectStore::list(std::string labelSelector)
{
    const std::string target =
            m_data->objectsPath + "?labelSelector=" + store::detail::percentEncode(labelSelector);
    return Data::run<ObjectList>(m_data, CallKind::List, http::verb::get, target, {},
                                 store::detail::decodeObjectList);
}

ObjectStore::Async<StoredObject> ObjectStore::waitForChange(std::string name, std::string version,
                                                            std::chrono::milliseconds timeout)
{
    store::detail::WatchRequest request;
    request.path = m_data->objectsPath;
    request.name = std::move(name);
    request.version = std::move(version);
    request.timeout = timeout;
    request.callTimeout = m_data->settings.callTimeout;
    return Data::measure<StoredObject>(m_data, CallKind::Watch,
                                       store::detail::watchCall(m_data->pool, std::move(request)));
}

ObjectStore::Async<InstanceList> ObjectStore::instances()
{
    const std::string target = m_data->instancesPath + "?labelSelector="
            + store::detail::percentEncode("kubernetes.io/service-name="
                                           + std::string(InstanceService));
    return Data::run<InstanceList>(m_data, CallKind::Instances, http::verb::get, target, {},
                                   store::detail::decodeInstances);
}

} // namespace pistachiofall
