#include "serving/configholder.h"

#include "store/jsonfields.h"

#include <utility>

#include <boost/json/serialize.hpp>

namespace pistachiofall {

ConfigHolder::ConfigHolder(const ServingProtocol &protocol, DecisionLog &log,
                           ChangeCallback onChange)
    : m_protocol(protocol)
    , m_log(log)
    , m_onChange(std::move(onChange))
{ }

void ConfigHolder::applyIfNewer(const boost::json::value &spec, std::string_view source)
{
    const auto decoded = m_protocol.decodeConfig(spec);
    if (!isOk(decoded)) {
        m_log.warning("config_unreadable",
                      {{"source", source}, {"reason", errorOf(decoded).message}});
        return;
    }
    const ServingConfig::Ptr &config = valueOf(decoded);
    if (m_config && config->version() <= m_config->version())
        return;
    m_log.info("config_in_force",
               {{"version", config->version()}, {"before", version()}, {"source", source}});
    m_config = config;
    m_spec = spec;
    m_onChange(m_config);
}

void ConfigHolder::applyTextIfNewer(std::string_view text, std::string_view source)
{
    const auto spec = store::detail::parseJson(text);
    if (!isOk(spec)) {
        m_log.warning("config_unreadable", {{"source", source}, {"reason", errorOf(spec).message}});
        return;
    }
    applyIfNewer(valueOf(spec), source);
}

std::string ConfigHolder::text() const
{
    return m_config ? boost::json::serialize(m_spec) : std::string();
}

} // namespace pistachiofall
