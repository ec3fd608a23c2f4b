#include "serving/retirementfollower.h"

#include "wire/sleep.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds RetryPause{200};

} // namespace

RetirementFollower::RetirementFollower(DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                                       const ServingProtocol &protocol, std::string instance,
                                       asio::any_io_executor executor)
    : m_log(log)
    , m_space(std::move(space))
    , m_protocol(protocol)
    , m_instance(std::move(instance))
    , m_executor(std::move(executor))
{ }

KindFollower::Callbacks RetirementFollower::callbacks()
{
    KindFollower::Callbacks callbacks;
    callbacks.listed = [this](const std::vector<SpaceObject> &objects) {
        for (const SpaceObject &object : objects)
            take(object);
    };
    callbacks.changed = [this](const SpaceEvent &event) {
        if (!event.isRemoved)
            take(event.object);
    };
    return callbacks;
}

void RetirementFollower::take(const SpaceObject &object)
{
    if (object.name != m_instance || m_isAnswering
        || object.status == m_protocol.encodeRetirement(true))
        return;
    m_isAnswering = true;
    asio::co_spawn(m_executor, complete(object), asio::detached);
}

asio::awaitable<void> RetirementFollower::complete(SpaceObject object)
{
    const std::string kind = m_protocol.spaceNames().retirementKind;
    object.revision = 0;
    object.status = m_protocol.encodeRetirement(true);
    for (;;) {
        SpaceObject sent = object;
        const auto written = co_await m_space->replaceStatus(kind, std::move(sent));
        if (isOk(written) || errorOf(written).code == ErrorCode::NotFound)
            break;
        m_log.warning("retirement_not_written", {{"reason", errorOf(written).message}});
        co_await sleepFor(RetryPause);
    }
    m_log.info("retirement_complete", {{"instance", m_instance}});
    m_isAnswering = false;
}

} // namespace pistachiofall
