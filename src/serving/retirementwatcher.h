#pragma once

#include "base/decisionlog.h"
#include "serving/kindwatcher.h"
#include "serving/servingprotocol.h"

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Handles requests to retire this instance. An instance holds no data that would have to be moved
/// first, so each retirement is reported as complete at once.
class RetirementWatcher
{
public:
    RetirementWatcher(DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                      const ServingProtocol &protocol, std::string instance,
                      boost::asio::any_io_executor executor);

    /// Callbacks for a watcher of the retirement kind.
    KindWatcher::Callbacks callbacks();

private:
    void handleRetirement(const SpaceObject &object);
    boost::asio::awaitable<void> reportComplete(SpaceObject object);

    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    const ServingProtocol &m_protocol;
    std::string m_instance;
    boost::asio::any_io_executor m_executor;
    bool m_isReporting = false;
};

} // namespace pistachiofall
