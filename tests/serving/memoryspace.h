#pragma once

#include "store/objectspace.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <boost/json/serialize.hpp>

namespace pistachiofall::tests {

/// An in-memory object store that rejects objects above a size limit, like the platform's store.
/// Lists and watches return nothing; replaceSpec() fails.
class MemorySpace final : public ObjectSpace
{
public:
    explicit MemorySpace(std::size_t maxObjectBytes)
        : m_maxObjectBytes(maxObjectBytes)
    { }

    std::size_t objectCount(const std::string &kind) const
    {
        std::size_t count = 0;
        for (const auto &[key, object] : m_objects)
            count += key.first == kind ? 1 : 0;
        return count;
    }

    Async<SpaceObject> get(std::string kind, std::string name) override
    {
        const auto found = m_objects.find({kind, name});
        if (found == m_objects.end())
            co_return Error{ErrorCode::NotFound, "no object"};
        co_return found->second;
    }

    Async<SpaceObject> create(std::string kind, SpaceObject object) override
    {
        if (m_objects.contains({kind, object.name}))
            co_return Error{ErrorCode::AlreadyExists, "the name is taken"};
        if (isTooLarge(object))
            co_return Error{ErrorCode::InvalidArgument, "too large"};
        object.revision = ++m_revision;
        m_objects[{kind, object.name}] = object;
        co_return object;
    }

    Async<SpaceObject> replaceSpec(std::string, SpaceObject) override
    {
        co_return Error{ErrorCode::InvalidArgument, "not part of this store"};
    }

    Async<SpaceObject> replaceStatus(std::string kind, SpaceObject object) override
    {
        const auto found = m_objects.find({kind, object.name});
        if (found == m_objects.end())
            co_return Error{ErrorCode::NotFound, "no object"};
        if (found->second.revision != object.revision)
            co_return Error{ErrorCode::Conflict, "another revision"};
        if (isTooLarge(object))
            co_return Error{ErrorCode::InvalidArgument, "too large"};
        found->second.status = object.status;
        found->second.revision = ++m_revision;
        co_return found->second;
    }

    Async<Done> remove(std::string kind, std::string name) override
    {
        m_objects.erase({kind, name});
        co_return Done{};
    }

    Async<SpaceListing> list(std::string, std::string, Freshness) override
    {
        co_return SpaceListing{};
    }

    Async<SpaceChanges> watch(std::string, std::uint64_t, std::chrono::milliseconds) override
    {
        co_return SpaceChanges{};
    }

    Async<SpaceChanges> changes(std::string, std::uint64_t, std::chrono::milliseconds) override
    {
        co_return SpaceChanges{};
    }

private:
    bool isTooLarge(const SpaceObject &object) const
    {
        return boost::json::serialize(object.spec).size()
                + boost::json::serialize(object.status).size()
                > m_maxObjectBytes;
    }

    std::size_t m_maxObjectBytes;
    std::uint64_t m_revision = 1;
    std::map<std::pair<std::string, std::string>, SpaceObject> m_objects;
};

} // namespace pistachiofall::tests
