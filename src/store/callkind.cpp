#include "store/callkind.h"

namespace pistachiofall::store::detail {

std::string_view toString(CallKind kind)
{
    switch (kind) {
    case CallKind::Get:
        return "get";
    case CallKind::Create:
        return "create";
    case CallKind::Update:
        return "update";
    case CallKind::Remove:
        return "remove";
    case CallKind::List:
        return "list";
    case CallKind::Watch:
        return "watch";
    case CallKind::Instances:
        return "instances";
    }
    return "unknown";
}

bool isWrite(CallKind kind)
{
    return kind == CallKind::Create || kind == CallKind::Update || kind == CallKind::Remove;
}

} // namespace pistachiofall::store::detail
