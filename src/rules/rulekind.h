#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pistachiofall {

/// The kinds of rule, in the order in which a rule set lists them.
enum class RuleKind : std::uint8_t { Organisation, Key, Domain, Model, Route, Endpoint };

inline constexpr std::array AllRuleKinds{RuleKind::Organisation, RuleKind::Key,
                                         RuleKind::Domain,       RuleKind::Model,
                                         RuleKind::Route,        RuleKind::Endpoint};

/// The first word of a line of that kind, such as "organisation".
std::string_view toString(RuleKind kind);

/// Nothing when the word is no kind.
std::optional<RuleKind> parseRuleKind(std::string_view word);

} // namespace pistachiofall
