#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace pistachiofall::detail {

/// Collects the errors found in one settings file.
class SettingsErrors
{
public:
    explicit SettingsErrors(std::string file);

    void add(std::size_t line, std::string message);
    bool isEmpty() const { return m_errors.empty(); }

    /// Returns an InvalidArgument error with one line "FILE:LINE: message" per collected error,
    /// sorted by line.
    Error toError() const;

private:
    std::string m_file;
    std::vector<std::pair<std::size_t, std::string>> m_errors;
};

} // namespace pistachiofall::detail
