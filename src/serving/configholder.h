#pragma once

#include "base/decisionlog.h"
#include "fleet/servingconfig.h"
#include "serving/servingprotocol.h"

#include <functional>
#include <string>

#include <boost/json/value.hpp>

namespace pistachiofall {

/// The newest configuration that this process has seen, from the store or from a peer. It never
/// goes back to an older version. It lives on one thread.
class ConfigHolder
{
public:
    using Changed = std::function<void(const ServingConfig::Ptr &config)>;

    ConfigHolder(const ServingProtocol &protocol, DecisionLog &log, Changed changed);

    /// Takes a configuration if it is newer than the one in force.
    void applyIfNewer(const boost::json::value &spec, std::string_view source);
    /// The same for the text that a peer sent.
    void applyTextIfNewer(std::string_view text, std::string_view source);

    /// Null before the first one.
    const ServingConfig::Ptr &config() const { return m_config; }
    std::uint64_t version() const { return m_config ? m_config->version() : 0; }
    /// As the operator wrote it, for peers.
    std::string text() const;

private:
    const ServingProtocol &m_protocol;
    DecisionLog &m_log;
    Changed m_changed;
    ServingConfig::Ptr m_config;
    boost::json::value m_spec;
};

} // namespace pistachiofall
