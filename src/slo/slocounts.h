#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace pistachiofall {

/// The labels that identify one pair of service-level counters.
struct SloKey
{
    std::string objective;
    std::string target;
    std::string organisation;

    // clang-tidy 14 mistakes the zero of the generated comparison for a null pointer.
    auto operator<=>(const SloKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// The values of one pair of service-level counters.
struct SloCount
{
    std::uint64_t requests = 0;
    std::uint64_t bad = 0;

    bool operator==(const SloCount &) const = default;
};

/// The service-level counters of one instance by their labels.
using SloCounts = std::map<SloKey, SloCount>;

/// Parses the service-level counters in metrics of the text exposition format. Other lines and
/// malformed ones are ignored.
SloCounts parseSloCounts(std::string_view text);

} // namespace pistachiofall
