#pragma once

#include "rules/rule.h"

#include <string>

namespace pistachiofall {

/// The line of a rule with its comment, in the one form in which it is stored and compared: fields
/// in a fixed order, one space between words. parseRuleLine returns the same rule for it.
std::string formatRule(const Rule &rule);

std::string formatRule(const OrganisationRule &rule);
std::string formatRule(const KeyRule &rule);
std::string formatRule(const DomainRule &rule);
std::string formatRule(const ModelRule &rule);
std::string formatRule(const RouteRule &rule);
std::string formatRule(const EndpointRule &rule);

/// The fields of a key rule without a comment.
std::string formatKeyFields(const KeyRule &rule);

} // namespace pistachiofall
