#pragma once

#include "coord/coordtimes.h"
#include "fleet/rollout.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// What the version of an endpoint means for the requests of its service.
enum class VersionRole {
    /// No rollout concerns it, or it has the version that serves the service at present.
    Unrestricted,
    /// It has the target version and takes the share of the requests that the rollout has reached.
    Canary,
    /// It has another version while all requests go to the target version; it takes those for which
    /// there is no other endpoint.
    Former,
    /// It gets no requests.
    Excluded,
};

/// Decides which endpoints of a service the rollout of a version lets serve, and which requests go
/// to the target version. Not thread safe.
class VersionRoles
{
public:
    struct Endpoint
    {
        std::string_view id;
        std::string_view version;
    };

    /// Rollouts may come. A version that appears gets no requests for the given time, in which an
    /// order that is on its way arrives; and until the first setSplits(), a service with several
    /// versions gets none.
    void enable(std::chrono::milliseconds newVersionHold);
    bool isEnabled() const { return m_isEnabled; }

    /// Replaces the splits, by service. A service without one is not concerned by a rollout.
    void setSplits(std::map<std::string, VersionSplit> splits);
    bool knowsSplits() const { return m_areSplitsKnown; }

    /// The roles of the endpoints of a service, in their order. All that accept requests must be
    /// given, as the number of canaries depends on that of the target version's endpoints.
    std::vector<VersionRole> assign(const std::string &service,
                                    const std::vector<Endpoint> &endpoints, SteadyTime now);

    /// The roles from which a request gets an endpoint, the first ones first. A request that is
    /// sent again goes to the present version, so that a faulty target version costs its caller one
    /// attempt.
    std::vector<VersionRole> preferences(const std::string &service, std::string_view key,
                                         bool isSentAgain) const;

private:
    VersionRole roleWithoutSplit(const std::string &service, const Endpoint &endpoint,
                                 SteadyTime now);
    std::vector<VersionRole> assignBySplit(const VersionSplit &split,
                                           const std::vector<Endpoint> &endpoints,
                                           std::vector<VersionRole> roles) const;

    bool m_isEnabled = false;
    bool m_areSplitsKnown = false;
    std::chrono::milliseconds m_newVersionHold{0};
    std::map<std::string, VersionSplit> m_splits;
    /// When each version was first seen, by service. Those seen before the first splits are not
    /// held back.
    std::map<std::string, std::map<std::string, SteadyTime, std::less<>>> m_firstSeen;
};

} // namespace pistachiofall
