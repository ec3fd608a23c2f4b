#include "common/proxyfault.h"

#include "common/queryvalues.h"

#include <array>

namespace pistachiofall::standins {

namespace {

using Parameters = std::map<std::string, std::string>;

struct ModeName
{
    ProxyFault::Mode mode;
    const char *name;
};

constexpr std::array<ModeName, 7> ModeNames = {{{ProxyFault::Mode::Pass, "pass"},
                                                {ProxyFault::Mode::Refuse, "refuse"},
                                                {ProxyFault::Mode::Cut, "cut"},
                                                {ProxyFault::Mode::Freeze, "freeze"},
                                                {ProxyFault::Mode::FreezeAll, "freeze-all"},
                                                {ProxyFault::Mode::HalfOpen, "half-open"},
                                                {ProxyFault::Mode::Delay, "delay"}}};

std::string valueOr(const Parameters &parameters, const std::string &name,
                    const std::string &fallback)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? fallback : found->second;
}

Result<ProxyFault::Mode> parseMode(const std::string &text)
{
    std::string accepted;
    for (const ModeName &entry : ModeNames) {
        if (text == entry.name)
            return entry.mode;
        accepted += accepted.empty() ? "" : ", ";
        accepted += entry.name;
    }
    return Error{ErrorCode::InvalidArgument, "mode is '" + text + "', not one of " + accepted};
}

Result<Done> parseDirection(const std::string &text, ProxyFault &fault)
{
    if (text != "both" && text != "to-target" && text != "to-client")
        return Error{ErrorCode::InvalidArgument,
                     "direction is '" + text + "', not both, to-target or to-client"};
    fault.affectsToTarget = text != "to-client";
    fault.affectsToClient = text != "to-target";
    return Done{};
}

} // namespace

Result<ProxyFault> ProxyFault::parse(const std::map<std::string, std::string> &parameters)
{
    const auto names =
            checkNames(parameters, {"mode", "delay-ms", "jitter-ms", "seed", "direction"});
    if (!isOk(names))
        return errorOf(names);
    ProxyFault fault;
    const auto mode = parseMode(valueOr(parameters, "mode", ""));
    if (!isOk(mode))
        return errorOf(mode);
    fault.mode = valueOf(mode);
    const auto delay = parseNumber("delay-ms", valueOr(parameters, "delay-ms", "0"));
    const auto jitter = parseNumber("jitter-ms", valueOr(parameters, "jitter-ms", "0"));
    const auto seed = parseNumber("seed", valueOr(parameters, "seed", "0"));
    for (const auto *number : {&delay, &jitter, &seed}) {
        if (!isOk(*number))
            return errorOf(*number);
    }
    fault.delay = std::chrono::milliseconds(valueOf(delay));
    fault.jitter = std::chrono::milliseconds(valueOf(jitter));
    fault.seed = valueOf(seed);
    const auto direction = parseDirection(valueOr(parameters, "direction", "both"), fault);
    if (!isOk(direction))
        return errorOf(direction);
    return fault;
}

std::string toString(ProxyFault::Mode mode)
{
    for (const ModeName &entry : ModeNames) {
        if (entry.mode == mode)
            return entry.name;
    }
    return "unknown";
}

} // namespace pistachiofall::standins
