#pragma once

#include "store/objectspace.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace pistachiofall {

/// The latest changes of one kind of objects, for peers that follow this instance instead of
/// watching the store themselves. Bounded; a peer that asks for more than is kept lists the objects
/// itself. Not thread safe.
class ChangeHistory
{
public:
    /// The number of changes that are kept.
    static constexpr std::size_t MaxEvents = 512;

    /// All objects have been listed as of the revision; what was before is not known.
    void recordListing(std::uint64_t revision);
    /// The changes after those recorded last. Ignored if they are not newer.
    void recordChanges(const SpaceChanges &changes);

    /// The changes after the revision, up to the newest revision recorded; nothing if they are not
    /// all kept. Some of them may be older than the revision, in the order in which they came. A
    /// revision newer than all recorded has no changes, and is returned as it is.
    std::optional<SpaceChanges> since(std::uint64_t revision) const;

private:
    struct Entry
    {
        SpaceEvent event;
        /// The revision up to which the changes that came with this one are complete. That of the
        /// object says less: a removed one may have that of its last change.
        std::uint64_t completeUpTo = 0;
    };

    std::deque<Entry> m_entries;
    // All changes after m_begin and up to m_end are kept.
    std::uint64_t m_begin = 0;
    std::uint64_t m_end = 0;
};

} // namespace pistachiofall
