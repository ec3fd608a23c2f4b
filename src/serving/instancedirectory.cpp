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

InstanceDirectory::InstanceDirectory(DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                                     FleetPeers &peers)
    : m_log(log)
    , m_space(std::move(space))
    , m_peers(peers)
{ }

KindWatcher::Callbacks InstanceDirectory::callbacks()
{
    KindWatcher::Callbacks callbacks;
    callbacks.listed = [this](const std::vector<SpaceObject> &objects) {
        for (const SpaceObject &object : objects)
            applyEntry(object);
    };
    callbacks.changed = [this](const SpaceEvent &event) {
        if (event.isRemoved)
            m_peers.removeMember(event.object.name);
        else
            applyEntry(event.object);
    };
    return callbacks;
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

asio::awaitable<void> InstanceDirectory::registerSelf()
{
    const SpaceObject entry = entryOf(m_peers.self());
    for (;;) {
        SpaceObject created = entry;
        const auto written = co_await m_space->create(Kind, std::move(created));
        if (isOk(written))
            co_return;
        Error error = errorOf(written);
        if (error.code == ErrorCode::AlreadyExists) {
            // If the entry is unchanged, this write causes no watch event for the other instances.
            SpaceObject replaced = entry;
            const auto updated = co_await m_space->replaceSpec(Kind, std::move(replaced));
            if (isOk(updated))
                co_return;
            error = errorOf(updated);
        }
        m_log.warning("not_registered", {{"reason", error.message}});
        co_await sleepFor(RetryDelay);
    }
}

} // namespace pistachiofall
