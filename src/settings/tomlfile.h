#pragma once

#include "base/result.h"
#include "settings/settingserrors.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include <toml++/toml.h>

namespace pistachiofall::detail {

/// Returns the contents of a file, or NotFound with the kind of file in the message when it cannot
/// be read.
Result<std::string> readTextFile(const std::string &kind, const std::string &file);

/// Parses a text as TOML, passes the table to a function and returns its result. Returns
/// InvalidArgument with the file name and the line of a syntax error.
template<typename Read>
auto readToml(std::string_view text, const std::string &file, Read read)
        -> decltype(read(toml::table()))
{
    try {
        return read(toml::parse(text, file));
    } catch (const toml::parse_error &error) {
        SettingsErrors errors(file);
        errors.add(std::max<std::size_t>(1, error.source().begin.line),
                   std::string(error.description()));
        return errors.toError();
    }
}

} // namespace pistachiofall::detail
