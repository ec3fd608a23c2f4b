#include "store/changestext.h"

#include "store/jsonfields.h"

#include <optional>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::store {

namespace json = boost::json;

namespace {

constexpr const char *RevisionField = "revision";
constexpr const char *EventsField = "events";
constexpr const char *NameField = "name";
constexpr const char *RemovedField = "removed";
constexpr const char *SpecField = "spec";
constexpr const char *StatusField = "status";

std::optional<std::uint64_t> revisionOf(const json::value &value)
{
    const json::value *field = detail::findField(value, {RevisionField});
    if (field == nullptr || !field->is_number())
        return std::nullopt;
    json::error_code error;
    const auto revision = field->to_number<std::uint64_t>(error);
    return error || revision == 0 ? std::nullopt : std::optional(revision);
}

json::value fieldOf(const json::value &value, const char *name)
{
    const json::value *field = detail::findField(value, {name});
    return field == nullptr ? json::value() : *field;
}

Result<SpaceEvent> decodeEvent(const json::value &value)
{
    SpaceEvent event;
    event.object.name = detail::textField(value, {NameField});
    const auto revision = revisionOf(value);
    if (event.object.name.empty() || !revision)
        return Error{ErrorCode::ProtocolError,
                     "a change without a name or a revision: " + json::serialize(value)};
    event.object.revision = *revision;
    event.isRemoved = fieldOf(value, RemovedField) == json::value(true);
    event.object.spec = fieldOf(value, SpecField);
    event.object.status = fieldOf(value, StatusField);
    return event;
}

} // namespace

std::string encodeChanges(const SpaceChanges &changes)
{
    json::array events;
    for (const SpaceEvent &event : changes.events) {
        json::object entry{{NameField, event.object.name}, {RevisionField, event.object.revision}};
        if (event.isRemoved)
            entry[RemovedField] = true;
        else
            entry[SpecField] = event.object.spec;
        if (!event.object.status.is_null())
            entry[StatusField] = event.object.status;
        events.push_back(std::move(entry));
    }
    return json::serialize(
            json::object{{RevisionField, changes.revision}, {EventsField, std::move(events)}});
}

Result<SpaceChanges> decodeChanges(std::string_view text)
{
    const auto parsed = detail::parseJson(text);
    if (!isOk(parsed))
        return errorOf(parsed);
    const json::value *events = detail::findField(valueOf(parsed), {EventsField});
    const auto revision = revisionOf(valueOf(parsed));
    if (events == nullptr || !events->is_array() || !revision)
        return Error{ErrorCode::ProtocolError,
                     "no list of changes with a revision: " + std::string(text.substr(0, 100))};
    SpaceChanges changes;
    changes.revision = *revision;
    for (const json::value &value : events->get_array()) {
        auto event = decodeEvent(value);
        if (!isOk(event))
            return errorOf(event);
        changes.events.push_back(valueOf(std::move(event)));
    }
    return changes;
}

} // namespace pistachiofall::store
