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

/// Says what is wrong with the line, counted from 1. A key without a value, as a template renders
/// one from nothing, is named as such.
std::string describeSyntaxError(std::string_view text, std::size_t line,
                                std::string_view description);

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
        const std::size_t line = std::max<std::size_t>(1, error.source().begin.line);
        errors.add(line, describeSyntaxError(text, line, error.description()));
        return errors.toError();
    }
}

} // namespace pistachiofall::detail
