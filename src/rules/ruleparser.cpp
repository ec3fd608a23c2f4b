#include "rules/ruleparser.h"

#include "rules/fieldreader.h"
#include "rules/linetokens.h"
#include "rules/rulelimits.h"
#include "rules/ruletext.h"

#include <utility>

namespace pistachiofall {

namespace {

using detail::FieldPresence;
using detail::FieldReader;
using detail::LineTokens;

OrganisationRule readOrganisation(FieldReader &reader)
{
    OrganisationRule rule;
    rule.ratePerSecond = reader.decimal("rate", 0, MaxRatePerSecond);
    // A bucket that holds less than one token never grants a request.
    rule.burst = reader.decimal("burst", 1, MaxBurst);
    return rule;
}

KeyRule readKey(FieldReader &reader)
{
    KeyRule rule;
    rule.organisation = reader.name("organisation");
    reader.hex("salt", rule.salt);
    reader.hex("sha256", rule.digest);
    rule.withdrawn = reader.choice("state", {"active", "withdrawn"}) == 1;
    return rule;
}

DomainRule readDomain(FieldReader &reader)
{
    DomainRule rule;
    rule.out = reader.choice("state", {"in", "out"}) == 1;
    return rule;
}

ModelRule readModel(FieldReader &reader)
{
    ModelRule rule;
    rule.version = reader.modelName("version");
    return rule;
}

RouteRule readRoute(FieldReader &reader)
{
    RouteRule rule;
    rule.service = reader.name("service");
    rule.access = reader.choice("access", {"keyed", "open"}) == 1 ? RouteAccess::Open
                                                                  : RouteAccess::Keyed;
    rule.idempotent = reader.choice("idempotent", {"no", "yes"}) == 1;
    return rule;
}

/// A model engine without a number is taken to bear one request when cold, which is the least that
/// lets it become warm. A plain service without one is taken to have no cold start.
std::uint32_t defaultColdSlots(const EndpointRule &rule)
{
    return rule.service.empty() ? 1 : rule.slots;
}

std::optional<EndpointRule> readEndpoint(FieldReader &reader)
{
    const auto address = reader.address("address");
    std::string domain = reader.name("domain");
    std::string model = reader.modelName("model", FieldPresence::Optional);
    std::string service = reader.name("service", FieldPresence::Optional);
    const auto slots = reader.count("slots", MaxSlots);
    const auto coldSlots = reader.count("cold_slots", MaxSlots, FieldPresence::Optional);
    const bool leaving = reader.choice("state", {"serving", "leaving"}) == 1;
    const bool fencing = reader.choice("fencing", {"no", "yes"}) == 1;
    if (reader.has("model") == reader.has("service"))
        reader.addError("service",
                        reader.has("model")
                                ? "model and service are both given; accepted: one of them"
                                : "neither model nor service is given; accepted: one of them");
    if (slots && coldSlots && *coldSlots > *slots)
        reader.addError("cold_slots",
                        "cold_slots '" + std::to_string(*coldSlots)
                                + "' is not accepted; accepted: at most slots, which is "
                                + std::to_string(*slots));
    if (!address || !slots)
        return std::nullopt;
    EndpointRule rule{.name = {},
                      .address = *address,
                      .failureDomain = std::move(domain),
                      .model = std::move(model),
                      .service = std::move(service),
                      .slots = *slots,
                      .leaving = leaving,
                      .fencing = fencing,
                      .comment = {}};
    rule.coldSlots = coldSlots.value_or(defaultColdSlots(rule));
    return rule;
}

std::optional<Rule> readFields(RuleKind kind, FieldReader &reader)
{
    switch (kind) {
    case RuleKind::Organisation:
        return readOrganisation(reader);
    case RuleKind::Key:
        return readKey(reader);
    case RuleKind::Domain:
        return readDomain(reader);
    case RuleKind::Model:
        return readModel(reader);
    case RuleKind::Route:
        return readRoute(reader);
    case RuleKind::Endpoint:
        if (auto rule = readEndpoint(reader))
            return *std::move(rule);
        return std::nullopt;
    }
    return std::nullopt;
}

void checkName(RuleKind kind, const LineTokens &tokens, std::size_t line,
               std::vector<RuleError> &errors)
{
    std::string_view form = detail::RuleNameForm;
    bool isAccepted = false;
    if (kind == RuleKind::Route) {
        isAccepted = detail::isRoutePrefix(tokens.name.text);
        form = detail::RoutePrefixForm;
    } else if (kind == RuleKind::Model) {
        isAccepted = detail::isModelName(tokens.name.text);
        form = detail::ModelNameForm;
    } else {
        isAccepted = detail::isRuleName(tokens.name.text);
    }
    const std::string what = std::string(toString(kind)) + " name ";
    if (tokens.name.text.empty())
        errors.push_back(
                {line, tokens.name.column, "missing " + what + "; accepted: " + std::string(form)});
    else if (!isAccepted)
        errors.push_back({line, tokens.name.column,
                          what + detail::quoted(tokens.name.text)
                                  + " is not accepted; accepted: " + std::string(form)});
}

void checkComment(const LineTokens &tokens, std::size_t line, std::vector<RuleError> &errors)
{
    const std::string accepted = "; accepted: " + std::string(detail::RuleCommentForm);
    if (!tokens.comment)
        errors.push_back({line, tokens.endColumn, "missing comment" + accepted});
    else if (!detail::isRuleComment(tokens.comment->text))
        errors.push_back({line, tokens.comment->column,
                          "comment " + detail::quoted(tokens.comment->text) + " is not accepted"
                                  + accepted});
}

std::string joinedKinds()
{
    std::string text;
    for (const RuleKind kind : AllRuleKinds) {
        if (!text.empty())
            text += ", ";
        text += toString(kind);
    }
    return text;
}

/// Faults that make the rest of the line unreadable.
bool isReadable(std::string_view line, std::size_t lineNumber, std::vector<RuleError> &errors)
{
    if (line.size() > MaxRuleLineBytes) {
        errors.push_back({lineNumber, MaxRuleLineBytes + 1,
                          "the line has " + std::to_string(line.size()) + " bytes; accepted: up to "
                                  + std::to_string(MaxRuleLineBytes)});
        return false;
    }
    if (const auto offset = detail::findBadByte(line)) {
        const auto byte = static_cast<unsigned char>(line[*offset]);
        errors.push_back(
                {lineNumber, *offset + 1,
                 "byte 0x" + detail::formatHex({&byte, 1})
                         + " is not accepted; accepted: UTF-8 without control characters"});
        return false;
    }
    return true;
}

} // namespace

std::optional<Rule> parseRuleLine(std::string_view line, std::size_t lineNumber,
                                  std::vector<RuleError> &errors)
{
    if (!isReadable(line, lineNumber, errors))
        return std::nullopt;
    const std::size_t errorsBefore = errors.size();
    const LineTokens tokens = detail::splitLine(line, lineNumber, errors);
    if (tokens.kind.text.empty())
        return std::nullopt;
    const auto kind = parseRuleKind(tokens.kind.text);
    if (!kind) {
        errors.push_back({lineNumber, tokens.kind.column,
                          "unknown kind " + detail::quoted(tokens.kind.text)
                                  + "; accepted: " + joinedKinds()});
        return std::nullopt;
    }
    checkName(*kind, tokens, lineNumber, errors);
    FieldReader reader(tokens, lineNumber, errors);
    std::optional<Rule> rule = readFields(*kind, reader);
    reader.finish();
    checkComment(tokens, lineNumber, errors);
    if (!rule || errors.size() != errorsBefore)
        return std::nullopt;
    std::visit(
            [&](auto &value) {
                value.name = tokens.name.text;
                value.comment = tokens.comment->text;
            },
            *rule);
    return rule;
}

namespace detail {

std::size_t fieldColumn(std::string_view line, std::string_view field)
{
    std::vector<RuleError> ignored;
    for (const LineField &candidate : splitLine(line, 1, ignored).fields) {
        if (candidate.name.text == field)
            return candidate.value.column;
    }
    return 1;
}

} // namespace detail

} // namespace pistachiofall
