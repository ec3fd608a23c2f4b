#pragma once

#include "rules/domainrule.h"
#include "rules/endpointrule.h"
#include "rules/keyrule.h"
#include "rules/modelrule.h"
#include "rules/organisationrule.h"
#include "rules/routerule.h"

#include <string>
#include <variant>

namespace pistachiofall {

/// One line of the operators' file. Kind and name together identify it.
using Rule =
        std::variant<OrganisationRule, KeyRule, DomainRule, ModelRule, RouteRule, EndpointRule>;

RuleKind kindOf(const Rule &rule);
const std::string &nameOf(const Rule &rule);

} // namespace pistachiofall
