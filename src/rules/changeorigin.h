#pragma once

#include "base/result.h"

#include <chrono>
#include <string>

namespace pistachiofall {

/// Who made a change of the rules, and when.
struct ChangeOrigin
{
    std::string author;
    std::chrono::sys_seconds time;
    /// 32 random hex digits, by which the author recognises the change when the answer of the store
    /// was lost.
    std::string id;

    bool operator==(const ChangeOrigin &) const = default;
};

/// An origin with a new id. InvalidArgument for an empty or too long author, or one with a colon,
/// '#' or control characters.
Result<ChangeOrigin> makeChangeOrigin(const std::string &author,
                                      std::chrono::system_clock::time_point time);

/// The calendar time in UTC, such as "2024-05-01T08:30:00Z".
std::string formatTime(std::chrono::sys_seconds time);

} // namespace pistachiofall
