#include "store/watchevent.h"

#include "store/callerror.h"
#include "store/jsonfields.h"
#include "store/objectjson.h"

#include <utility>

#include <boost/json/serialize.hpp>

namespace pistachiofall::store::detail {

namespace {

constexpr unsigned GoneStatus = 410;

Result<WatchEvent> decodeErrorEvent(const boost::json::value &status)
{
    const boost::json::value *code = findField(status, {"code"});
    const unsigned number =
            code && code->is_int64() ? static_cast<unsigned>(code->get_int64()) : 500;
    if (number == GoneStatus)
        return WatchEvent{WatchEvent::Type::Expired, {}};
    return answerError(CallKind::Watch, number, boost::json::serialize(status));
}

} // namespace

Result<WatchEvent> decodeWatchEvent(std::string_view line)
{
    const Result<boost::json::value> value = parseJson(line);
    if (!isOk(value))
        return errorOf(value);
    const std::string type = textField(valueOf(value), {"type"});
    const boost::json::value *object = findField(valueOf(value), {"object"});
    if (!object)
        return Error{ErrorCode::ProtocolError, "the store's event '" + type + "' has no object"};
    if (type == "ERROR")
        return decodeErrorEvent(*object);
    if (type != "ADDED" && type != "MODIFIED" && type != "DELETED")
        return WatchEvent{};
    Result<StoredObject> decoded = decodeObject(*object);
    if (!isOk(decoded))
        return errorOf(decoded);
    const auto eventType =
            type == "DELETED" ? WatchEvent::Type::Removed : WatchEvent::Type::Changed;
    return WatchEvent{eventType, valueOf(std::move(decoded))};
}

} // namespace pistachiofall::store::detail
