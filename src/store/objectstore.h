#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "metrics/metricsregistry.h"
#include "store/instancelist.h"
#include "store/objectlist.h"
#include "store/storedobject.h"
#include "store/storesettings.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// A client of the platform's object API and of its instance list. Safe to use from several
/// coroutines and threads. Each call takes at most the call timeout. No call is repeated inside;
/// the caller decides. Errors that all calls share: Unavailable (certainly no effect), TimedOut and
/// OutcomeUnknown (a write may have taken effect; read back), InvalidArgument (refused, such as a
/// value that is too large or a name that the store does not accept), ProtocolError (the answer to
/// a read is not readable), Cancelled (a read, or a write of which nothing was sent).
///
/// An object is a ConfigMap with its data in binaryData under the key "data". The instance list is
/// read from the EndpointSlices of the Service "pistachiofall": endpoints[].targetRef.name, zone,
/// conditions.terminating, and the address with the slice's ports named "peer" and "admin".
///
/// The clock and the registry must outlive the store and its calls.
class ObjectStore
{
public:
    template<typename T>
    using Async = boost::asio::awaitable<Result<T>>;

    /// Fails with InvalidArgument when the address is not HOST:PORT with an IP host.
    static Result<std::shared_ptr<ObjectStore>> create(const boost::asio::any_io_executor &executor,
                                                       const StoreSettings &settings,
                                                       const Clock &clock,
                                                       MetricsRegistry &metrics);
    ~ObjectStore();
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;

    /// NotFound when there is no such object.
    Async<StoredObject> get(std::string name);

    /// Returns the object with its new version. AlreadyExists when the name is taken.
    Async<StoredObject> create(StoredObject object);

    /// Replaces the object if its version is still the one given. Conflict when it is not, NotFound
    /// when the object is gone.
    Async<StoredObject> update(StoredObject object);

    /// Removes the object if its version is still the one given; an empty version removes any.
    Async<Done> remove(std::string name, std::string version);

    /// All objects whose labels match "name=value,name in (a,b)".
    Async<ObjectList> list(std::string labelSelector);

    /// Waits until the object has another version than the one given (empty: until it exists) and
    /// returns it. TimedOut after the timeout with no change, which also confirms that the store
    /// answered the watch: the store ends the wait itself, and a store that does not is
    /// Unavailable. NotFound when the object is removed meanwhile. The store counts in whole
    /// seconds, so the timeout is rounded up; the call ends one call timeout later at the latest.
    Async<StoredObject> waitForChange(std::string name, std::string version,
                                      std::chrono::milliseconds timeout);

    /// The platform's instance list, which lags.
    Async<InstanceList> instances();

private:
    struct Data;
    explicit ObjectStore(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace pistachiofall
