#pragma once

#include "common/apianswer.h"
#include "common/configmap.h"
#include "common/objectselection.h"
#include "common/platformobject.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pistachiofall::standins {

/// The ConfigMaps of the stand-in, with the API's rules for versions, and a history of changes for
/// watches. Safe to use from several threads.
class PlatformObjects
{
public:
    /// The events of a watch as JSON lines, and the revision that they reach.
    struct Events
    {
        std::string lines;
        std::uint64_t revision = 0;
    };

    ApiAnswer get(const std::string &nameSpace, const std::string &name) const;
    ApiAnswer list(const ObjectSelection &selection) const;

    /// 201 with the object, or 409 AlreadyExists.
    ApiAnswer create(const std::string &nameSpace, std::string_view body);

    /// 409 Conflict when the body has a resourceVersion that is not the present one. As in the real
    /// API an update without a version is unconditional, and one that changes nothing makes no new
    /// version.
    ApiAnswer update(const std::string &nameSpace, const std::string &name, std::string_view body);

    /// The body may hold preconditions.resourceVersion.
    ApiAnswer remove(const std::string &nameSpace, const std::string &name, std::string_view body);

    /// The present objects as ADDED events.
    Events presentState(const ObjectSelection &selection) const;

    /// What changed after the revision; nothing when the history no longer reaches back that far.
    std::optional<Events> changesAfter(std::uint64_t revision,
                                       const ObjectSelection &selection) const;

    /// Forgets the history, so that watches with older versions are told to begin anew.
    void compact();

    std::uint64_t revision() const;

    /// Takes the next revision for a change elsewhere; all kinds of objects share the count.
    std::uint64_t takeRevision();

    /// Names, versions and sizes as a JSON array.
    std::string describe() const;

private:
    using Key = std::pair<std::string, std::string>;
    using ObjectPointer = std::shared_ptr<const PlatformObject>;

    struct Change
    {
        std::uint64_t revision = 0;
        /// Null when the object was created.
        ObjectPointer before;
        /// The last state, also of an object that was removed.
        ObjectPointer after;
        bool isRemoval = false;
    };

    void record(ObjectPointer before, ObjectPointer after, bool isRemoval);
    ObjectPointer find(const Key &key) const;

    mutable std::mutex m_mutex;
    std::uint64_t m_revision = 1;
    // Changes up to this revision are forgotten.
    std::uint64_t m_compacted = 0;
    std::map<Key, ObjectPointer> m_objects;
    std::deque<Change> m_history;
    std::size_t m_historyBytes = 0;
};

} // namespace pistachiofall::standins
