#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

namespace pistachiofall {

/// One object of a store with kinds.
struct SpaceObject
{
    std::string name;
    /// Grows with each change of any object of the store; 0 when it is not known.
    std::uint64_t revision = 0;
    /// What its writer wants.
    boost::json::value spec;
    /// What was made of it; written apart from the spec.
    boost::json::value status;
};

/// One page of the objects of a kind.
struct SpaceListing
{
    std::vector<SpaceObject> objects;
    /// Whether there are more, after the name of the last one.
    bool hasMore = false;
    /// The revision of the store as of this page.
    std::uint64_t revision = 0;
};

/// One change of an object.
struct SpaceEvent
{
    SpaceObject object;
    bool isRemoved = false;
};

/// The changes of a kind after a revision.
struct SpaceChanges
{
    std::vector<SpaceEvent> events;
    /// Where the next watch goes on.
    std::uint64_t revision = 0;
};

/// How old a listing may be.
enum class Freshness {
    Newest,
    /// Seconds old, which costs the store a fraction.
    MayBeStale,
};

/// A store of objects with kinds, names and revisions, whose writes may be conditional on the
/// revision. Errors that all calls share: Unavailable (certainly no effect), TimedOut and
/// OutcomeUnknown (a write may have taken effect, or may yet), RateLimited (no effect, too many
/// calls), ProtocolError (an answer that can not be read), InvalidArgument (refused).
class ObjectSpace
{
public:
    template<typename T>
    using Async = boost::asio::awaitable<Result<T>>;

    virtual ~ObjectSpace() = default;

    /// NotFound when there is no such object.
    virtual Async<SpaceObject> get(std::string kind, std::string name) = 0;
    /// AlreadyExists when the name is taken.
    virtual Async<SpaceObject> create(std::string kind, SpaceObject object) = 0;
    /// Replaces the spec. A revision other than 0 is a condition; Conflict when it is not met.
    virtual Async<SpaceObject> replaceSpec(std::string kind, SpaceObject object) = 0;
    /// Replaces the status, in the same way.
    virtual Async<SpaceObject> replaceStatus(std::string kind, SpaceObject object) = 0;
    /// Removes the object, whatever its revision.
    virtual Async<Done> remove(std::string kind, std::string name) = 0;
    /// The page of objects after the name; empty for the first one.
    virtual Async<SpaceListing> list(std::string kind, std::string after, Freshness freshness) = 0;
    /// Waits until there is a change after the revision, or for the time at most. NotFound when the
    /// store does not know the changes since that revision anymore.
    virtual Async<SpaceChanges> watch(std::string kind, std::uint64_t revision,
                                      std::chrono::milliseconds wait) = 0;
    /// The changes after the revision that there are now. TimedOut without an answer within the
    /// timeout, NotFound as for a watch.
    virtual Async<SpaceChanges> changes(std::string kind, std::uint64_t revision,
                                        std::chrono::milliseconds timeout) = 0;
};

} // namespace pistachiofall
