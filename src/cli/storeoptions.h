#pragma once

#include "base/result.h"
#include "cli/command.h"
#include "cli/storesession.h"
#include "store/storesettings.h"

#include <memory>
#include <string>
#include <variant>

#include <tclap/CmdLine.h>
#include <tclap/ValueArg.h>

namespace pistachiofall {

/// The command-line options that select the store: --store and --namespace, or --settings.
class StoreOptions
{
public:
    explicit StoreOptions(TCLAP::CmdLine &commandLine);

    /// Opens a session with the selected store. Call after parsing. Reports invalid options or an
    /// invalid settings file, and then returns the exit code of the command.
    std::variant<std::unique_ptr<StoreSession>, int> open(const CommandArguments &arguments);

    /// Returns the settings file; empty without --settings.
    const std::string &settingsFile() const { return m_settings.getValue(); }

private:
    Result<StoreSettings> settings();

    TCLAP::ValueArg<std::string> m_store;
    TCLAP::ValueArg<std::string> m_nameSpace;
    TCLAP::ValueArg<std::string> m_settings;
};

} // namespace pistachiofall
