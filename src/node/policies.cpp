#include "node/policies.h"

#include <memory>

namespace pistachiofall {

SelectionPolicy selectionPolicy(SelectionKind kind)
{
    switch (kind) {
    case SelectionKind::PowerOfTwo:
        return PowerOfTwoChoices{};
    case SelectionKind::RoundRobin:
        return RoundRobin{};
    case SelectionKind::PrefixAffinity:
        return PrefixAffinity{};
    }
    return PowerOfTwoChoices{};
}

QueuePolicy queuePolicy(const PolicySettings &settings)
{
    if (settings.batchPriority == BatchPriority::None)
        return SingleQueue{};
    if (settings.batchReserve == BatchReserveKind::Quarter)
        return OnlineFirst{QuarterReserve{}};
    return OnlineFirst{ArrivalReserve{}};
}

LimitPolicy limitPolicy(LimitKind kind)
{
    if (kind == LimitKind::Local)
        return std::make_unique<LocalLimits>();
    return HolderLimits{};
}

} // namespace pistachiofall
