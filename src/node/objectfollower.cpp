#include "node/objectfollower.h"

#include "coord/coordtimes.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Between two looks at the age of the confirmation.
constexpr milliseconds PollInterval{250};
// After a failed call, so that an outage does not bring a flood of calls.
constexpr milliseconds RetryInterval{1000};

} // namespace

ObjectFollower::ObjectFollower(const Clock &clock, std::shared_ptr<ObjectStore> store,
                               std::string name, Callbacks callbacks)
    : m_clock(clock)
    , m_store(std::move(store))
    , m_name(std::move(name))
    , m_callbacks(std::move(callbacks))
{ }

asio::awaitable<void> ObjectFollower::run()
{
    for (;;) {
        if (m_callbacks.isWatcher()) {
            co_await watch();
            continue;
        }
        const auto age = m_callbacks.confirmationAge();
        if (age && *age <= StoreReadThreshold) {
            co_await sleepFor(PollInterval);
            continue;
        }
        const auto version = co_await read();
        if (isOk(version))
            m_watchedVersion = valueOf(version);
        co_await sleepFor(RetryInterval);
    }
}

asio::awaitable<Result<std::string>> ObjectFollower::read()
{
    const auto begin = m_clock.now();
    auto object = co_await m_store->get(m_name);
    if (!isOk(object)) {
        if (errorOf(object).code == ErrorCode::NotFound) {
            m_callbacks.missing();
            m_callbacks.confirmed(begin);
        } else {
            m_callbacks.failed(begin);
        }
        co_return errorOf(object);
    }
    std::string version = valueOf(object).version;
    const auto taken = co_await m_callbacks.take(valueOf(std::move(object)));
    if (!isOk(taken))
        co_return errorOf(taken);
    m_callbacks.confirmed(begin);
    co_return version;
}

asio::awaitable<void> ObjectFollower::watch()
{
    const auto begin = m_clock.now();
    auto object = co_await m_store->waitForChange(m_name, m_watchedVersion, WatchTimeout);
    // The store ends a watch at its timeout, so an answer that comes later says nothing about the
    // time after it.
    const auto confirmedAt = std::min(m_clock.now(), begin + WatchTimeout);
    if (!isOk(object)) {
        if (errorOf(object).code == ErrorCode::TimedOut) {
            if (m_watchedVersion.empty())
                m_callbacks.missing();
            m_callbacks.confirmed(confirmedAt);
        } else {
            m_callbacks.failed(begin);
            co_await sleepFor(RetryInterval);
        }
        co_return;
    }
    std::string version = valueOf(object).version;
    const auto taken = co_await m_callbacks.take(valueOf(std::move(object)));
    if (!isOk(taken)) {
        // What a peer brought may be newer than this event. A watch from the same version would
        // bring the event again and never come to the present state.
        const auto present = co_await read();
        if (isOk(present))
            m_watchedVersion = valueOf(present);
        else
            co_await sleepFor(RetryInterval);
        co_return;
    }
    m_watchedVersion = std::move(version);
    m_callbacks.confirmed(confirmedAt);
}

} // namespace pistachiofall
