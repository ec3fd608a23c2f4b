#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pistachiofall {

/// A write of an object whose answer is missing, so that the store may have applied it or may apply
/// it later. It is settled when the object has another revision than the one that the write was
/// conditional on, or after the time by which the store drops it.
class UncertainWrite
{
public:
    /// The write is conditional on the revision, or creates the object if it is 0.
    UncertainWrite(std::uint64_t revision, SteadyTime sent);

    /// Whether the write can no longer be applied, or has been, if the object has this revision;
    /// nothing means that the object does not exist.
    bool isSettled(std::optional<std::uint64_t> revision, SteadyTime now) const;

private:
    std::uint64_t m_revision;
    SteadyTime m_sent;
};

} // namespace pistachiofall
