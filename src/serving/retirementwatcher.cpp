#include "serving/retirementwatcher.h"

#include "wire/sleep.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds RetryDelay{200};

} // namespace

RetirementWatcher::RetirementWatcher(DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                                     const ServingProtocol &protocol, std::string instance,
                                     asio::any_io_executor executor)
    : m_log(log)
    , m_space(std::move(space))
    , m_protocol(protocol)
    , m_instance(std::move(instance))
    , m_executor(std::move(executor))
{ }

KindWatcher::Callbacks RetirementWatcher::callbacks()
{
    KindWatcher::Callbacks callbacks;
    callbacks.listed = [this](const std::vector<SpaceObject> &objects) {
        for (const SpaceObject &object : objects)
            handleRetirement(object);
    };
    callbacks.changed = [this](const SpaceEvent &event) {
        if (!event.isRemoved)
            handleRetirement(event.object);
    };
    return callbacks;
}

void RetirementWatcher::handleRetirement(const SpaceObject &object)
{
    if (object.name != m_instance || m_isReporting
        || object.status == m_protocol.encodeRetirement(true))
        return;
    m_isReporting = true;
    asio::co_spawn(m_executor, reportComplete(object), asio::detached);
}

asio::awaitable<void> RetirementWatcher::reportComplete(SpaceObject object)
{
    const std::string kind = m_protocol.objectKinds().retirementKind;
    object.revision = 0;
    object.status = m_protocol.encodeRetirement(true);
    for (;;) {
        SpaceObject sent = object;
        const auto written = co_await m_space->replaceStatus(kind, std::move(sent));
        if (isOk(written) || errorOf(written).code == ErrorCode::NotFound)
            break;
        m_log.warning("retirement_not_written", {{"reason", errorOf(written).message}});
        co_await sleepFor(RetryDelay);
    }
    m_log.info("retirement_complete", {{"instance", m_instance}});
    m_isReporting = false;
}

} // namespace pistachiofall
