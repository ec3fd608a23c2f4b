#include "cli/storeoptions.h"

#include "base/socketaddress.h"
#include "cli/parsearguments.h"
#include "settings/loadsettings.h"

namespace pistachiofall {

StoreOptions::StoreOptions(TCLAP::CmdLine &commandLine)
    : m_store("", "store", "address of the object API", false, "", "IP:PORT", commandLine)
    , m_nameSpace("", "namespace", "name space in the object API; pistachiofall when left out",
                  false, "", "NAME", commandLine)
    , m_settings("", "settings", "settings file of an instance, instead of --store and --namespace",
                 false, "", "FILE", commandLine)
{ }

std::variant<std::unique_ptr<StoreSession>, int>
StoreOptions::open(const CommandArguments &arguments)
{
    if (m_store.isSet() == m_settings.isSet())
        return reportUsageError(arguments, "accepted: either --store or --settings");
    if (m_settings.isSet() && m_nameSpace.isSet())
        return reportUsageError(arguments,
                                "--namespace is not accepted with --settings, which has one");
    const auto address = SocketAddress::parse(m_store.getValue());
    if (m_store.isSet() && !isOk(address))
        return reportUsageError(arguments, errorOf(address).message);
    const auto found = settings();
    if (!isOk(found))
        return reportFailure(errorOf(found).message);
    auto session = StoreSession::create(valueOf(found));
    if (!isOk(session))
        return reportFailure(errorOf(session).message);
    return valueOf(std::move(session));
}

Result<StoreSettings> StoreOptions::settings()
{
    if (m_settings.isSet()) {
        auto settings = loadSettings(m_settings.getValue());
        if (!isOk(settings))
            return errorOf(settings);
        return valueOf(std::move(settings)).store;
    }
    StoreSettings settings;
    settings.address = m_store.getValue();
    if (m_nameSpace.isSet())
        settings.nameSpace = m_nameSpace.getValue();
    return settings;
}

} // namespace pistachiofall
