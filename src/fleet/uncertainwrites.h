#pragma once

#include "coord/coordtimes.h"

#include <map>
#include <string>

namespace pistachiofall {

/// The objects to which this instance has sent a write without an answer a short time ago. A later
/// attempt that was certainly not applied says nothing of that write. Not thread safe.
class UncertainWrites
{
public:
    /// A write of the object was sent, and the store may apply it for some time.
    void record(const std::string &object, SteadyTime now);
    /// The object shows the write.
    void settle(const std::string &object) { m_sent.erase(object); }
    /// Whether such a write may have been applied or may still be.
    bool mayBeApplied(const std::string &object, SteadyTime now) const;

private:
    std::map<std::string, SteadyTime> m_sent;
};

} // namespace pistachiofall
