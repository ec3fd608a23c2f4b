#pragma once

#include "base/decisionlog.h"
#include "fleet/servingconfig.h"
#include "serving/servingprotocol.h"

#include <functional>
#include <string>

#include <boost/json/value.hpp>

namespace pistachiofall {

/// Holds the newest configuration that this process has received from the store or from a peer. It
/// never returns to an older version. Not thread safe.
class ConfigHolder
{
public:
    using ChangeCallback = std::function<void(const ServingConfig::Ptr &config)>;

    ConfigHolder(const ServingProtocol &protocol, DecisionLog &log, ChangeCallback onChange);

    /// Puts a configuration in force if its version is newer than the current one. One that cannot
    /// be decoded is logged and ignored.
    void applyIfNewer(const boost::json::value &spec, std::string_view source);
    /// Puts a configuration in the form of text(), as peers send it, in force if its version is
    /// newer than the current one. One that cannot be parsed or decoded is logged and ignored.
    void applyTextIfNewer(std::string_view text, std::string_view source);

    /// The configuration in force; null until the first one arrives.
    const ServingConfig::Ptr &config() const { return m_config; }
    std::uint64_t version() const { return m_config ? m_config->version() : 0; }
    /// The configuration as JSON text, as the operator wrote it, to send to peers. Empty if there
    /// is none.
    std::string text() const;

private:
    const ServingProtocol &m_protocol;
    DecisionLog &m_log;
    ChangeCallback m_onChange;
    ServingConfig::Ptr m_config;
    boost::json::value m_spec;
};

} // namespace pistachiofall
