#include "settings/settingserrors.h"

#include <algorithm>

namespace pistachiofall::detail {

SettingsErrors::SettingsErrors(std::string file)
    : m_file(std::move(file))
{ }

void SettingsErrors::add(std::size_t line, std::string message)
{
    m_errors.emplace_back(line, std::move(message));
}

Error SettingsErrors::toError() const
{
    auto sorted = m_errors;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    Error error{ErrorCode::InvalidArgument, {}};
    for (const auto &[line, message] : sorted) {
        if (!error.message.empty())
            error.message += '\n';
        error.message += m_file + ":" + std::to_string(line) + ": " + message;
    }
    return error;
}

} // namespace pistachiofall::detail
