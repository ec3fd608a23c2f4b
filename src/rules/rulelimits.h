#pragma once

#include <cstddef>
#include <cstdint>

namespace pistachiofall {

// The limits below bound what a damaged or mistaken file can cost. They are far above the design
// scale of 20,000 organisations and 5,300 endpoints.

/// Comment included.
inline constexpr std::size_t MaxRuleLineBytes = 1000;
/// Rules in one set.
inline constexpr std::size_t MaxRules = 200'000;
/// A rule file with its comments and blank lines.
inline constexpr std::size_t MaxRuleFileBytes = 64U << 20U;
/// Names of organisations, keys, failure domains, services and endpoints.
inline constexpr std::size_t MaxRuleNameBytes = 64;
/// Names and versions of models.
inline constexpr std::size_t MaxModelNameBytes = 128;
inline constexpr std::size_t MaxRoutePrefixBytes = 200;
/// "by NAME: reason". With the limits of the names, it keeps the stored form of every rule within
/// MaxRuleLineBytes, also when that form spells out defaults.
inline constexpr std::size_t MaxRuleCommentBytes = 300;
/// The NAME of the comment "# by NAME: reason", and of who applied a change.
inline constexpr std::size_t MaxAuthorBytes = 64;
/// Requests per second of one organisation; the whole fleet is designed for 3,500.
inline constexpr double MaxRatePerSecond = 1'000'000;
/// Requests that an organisation may send at once.
inline constexpr double MaxBurst = 1'000'000;
/// Requests in flight at one endpoint.
inline constexpr std::uint32_t MaxSlots = 10'000;

} // namespace pistachiofall
