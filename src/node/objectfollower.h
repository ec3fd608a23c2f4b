#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "store/objectstore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Follows one object of the store. A watcher waits for its changes; another instance reads it only
/// when no confirmation, its own or a peer's, is young enough. So a fleet keeps few watches, and an
/// instance that no peer reaches still reads for itself.
class ObjectFollower
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Callbacks
    {
        /// Takes a state of the object, which may be an old one.
        std::function<boost::asio::awaitable<Result<Done>>(StoredObject)> take;
        /// There is no such object in the store.
        std::function<void()> missing;
        /// What was taken was the newest state at the time given.
        std::function<void(TimePoint)> confirmed;
        /// A read or watch of the store that began at the time given has failed.
        std::function<void(TimePoint)> failed;
        /// Whether this instance is to watch the store now.
        std::function<bool()> isWatcher;
        /// The age of the newest confirmation that this instance or a peer has.
        std::function<std::optional<std::chrono::milliseconds>()> confirmationAge;
    };

    ObjectFollower(const Clock &clock, std::shared_ptr<ObjectStore> store, std::string name,
                   Callbacks callbacks);

    /// Runs until the executor stops.
    boost::asio::awaitable<void> run();

    /// Reads the object once. The version of the store's object, or the error.
    boost::asio::awaitable<Result<std::string>> read();

    /// How long one watch waits. It is also how old a watcher's confirmation gets.
    static constexpr std::chrono::milliseconds WatchTimeout{1000};

private:
    boost::asio::awaitable<void> watch();

    const Clock &m_clock;
    const std::shared_ptr<ObjectStore> m_store;
    const std::string m_name;
    const Callbacks m_callbacks;
    // Used by run() only.
    std::string m_watchedVersion;
};

} // namespace pistachiofall
