#pragma once

#include "base/decisionlog.h"
#include "serving/kindwatcher.h"
#include "serving/servingprotocol.h"

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Answers requests to empty this instance. It holds nothing that has to be moved, so each is
/// complete at once.
class RetirementWatcher
{
public:
    RetirementWatcher(DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                      const ServingProtocol &protocol, std::string instance,
                      boost::asio::any_io_executor executor);

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
