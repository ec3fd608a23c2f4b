#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// The arguments of a subcommand. The first is the name of the program and the subcommand, as shown
/// in the usage text.
using CommandArguments = std::vector<std::string>;

/// A subcommand. Its function writes to standard output and standard error, and returns an exit
/// code.
struct Command
{
    /// One or two words, such as "rules show".
    std::string_view name;
    /// A one-line description for the usage text.
    std::string_view help;
    int (*run)(const CommandArguments &arguments);
};

} // namespace pistachiofall
