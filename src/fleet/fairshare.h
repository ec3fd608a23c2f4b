#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <map>
#include <string>

namespace pistachiofall {

/// What an organisation has used lately over the whole fleet, and what its limit allows in the same
/// time.
struct OrganisationUse
{
    double used = 0;
    double allowed = 0;
};

/// Tells which organisations take more than their share while room is short. The load that it
/// answers: one organisation sends many times its usual, within its limit, and the others would
/// wait and be refused with it. Shares are max-min fair in proportion to the limits: what an
/// organisation does not use is divided among the others. An organisation is over its share when
/// it has used clearly more of its limit than the level up to which all could be served.
///
/// Not thread safe.
class FairShare
{
public:
    /// Replaces what is known of the organisations' use.
    void update(const std::map<std::string, OrganisationUse> &uses, SteadyTime now);
    /// Whether it is time for the next update.
    bool isOutdated(SteadyTime now) const { return now - m_updated >= UpdateInterval; }

    bool isOverShare(const std::string &organisation) const;

    static constexpr std::chrono::milliseconds UpdateInterval{500};

private:
    std::map<std::string, double> m_levels;
    double m_fairLevel = 0;
    SteadyTime m_updated{};
};

} // namespace pistachiofall
