#include "rules/ruleformat.h"

#include "rules/ruletext.h"

namespace pistachiofall {

namespace {

template<typename T>
std::string formatLine(const T &rule, const std::string &fields)
{
    std::string line(toString(rule.Kind));
    line += ' ';
    line += rule.name;
    line += fields;
    line += " # ";
    line += rule.comment;
    return line;
}

} // namespace

std::string formatRule(const Rule &rule)
{
    return std::visit([](const auto &value) { return formatRule(value); }, rule);
}

std::string formatRule(const OrganisationRule &rule)
{
    return formatLine(rule,
                      " rate=" + detail::formatDecimal(rule.ratePerSecond)
                              + " burst=" + detail::formatDecimal(rule.burst));
}

std::string formatKeyFields(const KeyRule &rule)
{
    std::string fields = " organisation=" + rule.organisation
            + " salt=" + detail::formatHex(rule.salt) + " sha256=" + detail::formatHex(rule.digest);
    if (rule.withdrawn)
        fields += " state=withdrawn";
    return fields;
}

std::string formatRule(const KeyRule &rule)
{
    return formatLine(rule, formatKeyFields(rule));
}

std::string formatRule(const DomainRule &rule)
{
    return formatLine(rule, rule.out ? " state=out" : " state=in");
}

std::string formatRule(const ModelRule &rule)
{
    return formatLine(rule, " version=" + rule.version);
}

std::string formatRule(const RouteRule &rule)
{
    return formatLine(
            rule,
            " service=" + rule.service
                    + (rule.access == RouteAccess::Open ? " access=open" : " access=keyed")
                    + (rule.idempotent ? " idempotent=yes" : " idempotent=no"));
}

std::string formatRule(const EndpointRule &rule)
{
    std::string fields = " address=" + rule.address.toString() + " domain=" + rule.failureDomain;
    fields += rule.service.empty() ? " model=" + rule.model : " service=" + rule.service;
    fields += " slots=" + std::to_string(rule.slots)
            + " cold_slots=" + std::to_string(rule.coldSlots);
    if (rule.leaving)
        fields += " state=leaving";
    if (rule.fencing)
        fields += " fencing=yes";
    return formatLine(rule, fields);
}

} // namespace pistachiofall
