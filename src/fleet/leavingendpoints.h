#pragma once

#include "coord/coordtimes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pistachiofall {

/// One process of an endpoint.
struct EndpointIncarnation
{
    std::string id;
    /// The start of the process, in milliseconds since the Unix epoch; 0 if unknown.
    std::int64_t startedAt = 0;

    bool operator<(const EndpointIncarnation &other) const
    {
        return std::tie(id, startedAt) < std::tie(other.id, other.startedAt);
    }
};

/// The endpoints that have announced in an answer that they leave, whatever their entries in the
/// store say. An announcement holds for the process that made it, so that another process under the
/// same id is not affected. Bounded; the oldest announcements are forgotten first. Not thread safe.
class LeavingEndpoints
{
public:
    /// Returns whether the announcement is new.
    bool add(const EndpointIncarnation &endpoint, SteadyTime now);
    bool contains(const EndpointIncarnation &endpoint) const;
    /// The announcements of the last seconds, to tell peers.
    std::vector<EndpointIncarnation> recent(SteadyTime now) const;
    /// Forgets endpoints that must have ended long ago.
    void removeExpired(SteadyTime now);
    std::size_t count() const { return m_added.size(); }

private:
    std::map<EndpointIncarnation, SteadyTime> m_added;
};

} // namespace pistachiofall
