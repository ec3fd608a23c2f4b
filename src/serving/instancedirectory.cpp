#include "serving/instancedirectory.h"

#include "store/jsonfields.h"
#include "wire/sleep.h"

#include <utility>

#include <boost/json/object.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using store::detail::textField;

namespace {

constexpr std::chrono::milliseconds RetryDelay{500};
constexpr std::chrono::seconds PollInterval{15};
constexpr int ListingsBeforeRemoval = 2;

SpaceObject entryOf(const FleetPeer &self)
{
    SpaceObject entry;
    entry.name = self.name;
    entry.spec = boost::json::object{{"address", self.address.toString()},
                                     {"domain", self.failureDomain},
                                     {"callers", self.takesCallers ? "yes" : "no"}};
    return entry;
}

} // namespace

InstanceDirectory::InstanceDirectory(const Clock &clock, DecisionLog &log,
                                     std::shared_ptr<ObjectSpace> space, FleetPeers &peers)
    : m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_peers(peers)
    , m_lastResponse(clock.now())
{ }

asio::awaitable<void> InstanceDirectory::run()
{
    bool isRegistered = false;
    bool hasRead = false;
    for (;;) {
        if (!isRegistered)
            isRegistered = co_await registerSelf();
        const bool wasRead = co_await readAll(hasRead ? Freshness::MayBeStale : Freshness::Newest);
        // Only what was read after the own entry was written is complete.
        if (!hasRead && wasRead && isRegistered && m_isFirstProcess)
            m_peers.setFirstProcess();
        hasRead = hasRead || (wasRead && isRegistered);
        co_await sleepFor(hasRead ? PollInterval : RetryDelay);
    }
}

asio::awaitable<bool> InstanceDirectory::readAll(Freshness freshness)
{
    std::set<std::string> listed;
    std::string after;
    for (;;) {
        std::string from = after;
        const auto page = co_await m_space->list(Kind, std::move(from), freshness);
        if (!isOk(page))
            co_return false;
        m_lastResponse = m_clock.now();
        for (const SpaceObject &object : valueOf(page).objects) {
            listed.insert(object.name);
            applyEntry(object);
        }
        if (!valueOf(page).hasMore || valueOf(page).objects.empty())
            break;
        after = valueOf(page).objects.back().name;
    }
    removeMissing(listed);
    co_return true;
}

// A listing may be older than the one before, so an entry counts as removed when it is missing in
// several in a row.
void InstanceDirectory::removeMissing(const std::set<std::string> &listed)
{
    for (const std::string &name : listed)
        m_missing[name] = 0;
    for (auto entry = m_missing.begin(); entry != m_missing.end();) {
        if (listed.contains(entry->first) || ++entry->second < ListingsBeforeRemoval) {
            ++entry;
            continue;
        }
        m_peers.removeMember(entry->first);
        entry = m_missing.erase(entry);
    }
}

void InstanceDirectory::applyEntry(const SpaceObject &object)
{
    const auto address = SocketAddress::parse(textField(object.spec, {"address"}));
    if (!isOk(address)) {
        m_log.warning("instance_unreadable",
                      {{"instance", object.name}, {"reason", errorOf(address).message}});
        return;
    }
    m_peers.addMember({object.name, valueOf(address), textField(object.spec, {"domain"}),
                       textField(object.spec, {"callers"}) == "yes"});
}

// Returns whether the store has accepted the entry.
asio::awaitable<bool> InstanceDirectory::registerSelf()
{
    const SpaceObject entry = entryOf(m_peers.self());
    SpaceObject created = entry;
    const auto written = co_await m_space->create(Kind, std::move(created));
    const bool isFirstAttempt = !std::exchange(m_hasTriedToRegister, true);
    m_isFirstProcess = isOk(written) && isFirstAttempt;
    if (isOk(written))
        co_return true;
    Error error = errorOf(written);
    if (error.code == ErrorCode::AlreadyExists) {
        // If the entry is unchanged, this write is no change in the store.
        SpaceObject replaced = entry;
        const auto updated = co_await m_space->replaceSpec(Kind, std::move(replaced));
        if (isOk(updated))
            co_return true;
        error = errorOf(updated);
    }
    m_log.warning("not_registered", {{"reason", error.message}});
    co_return false;
}

} // namespace pistachiofall
