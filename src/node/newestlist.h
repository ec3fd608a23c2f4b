#pragma once

#include "node/listreading.h"

#include <mutex>
#include <optional>

namespace pistachiofall {

/// The newest snapshot of the instance list that this instance knows. The version and the time of
/// the reading never go down, whatever order snapshots come in. Thread safe.
class NewestList
{
public:
    /// What a snapshot or a confirmation changed.
    enum class Change {
        /// Nothing: it was an older version, or no newer reading.
        None,
        /// The same instances were read at a later time.
        Confirmed,
        /// The instances are others.
        Replaced
    };

    /// Empty before the first snapshot.
    std::optional<ListReading> reading() const;

    Change take(InstanceList list, SteadyTime asOf);

    /// Another instance read the list with the hash and the version at the time given or later.
    /// Changes nothing when the hash is another than that of the snapshot known here.
    Change confirm(std::uint64_t version, std::uint64_t contentHash, SteadyTime asOf);

    /// Whether a list with the version and the hash would replace the one known here.
    bool isReplacedBy(std::uint64_t version, std::uint64_t contentHash) const;

private:
    Change confirmLocked(std::uint64_t version, SteadyTime asOf);

    mutable std::mutex m_mutex;
    std::optional<ListReading> m_reading;
};

} // namespace pistachiofall
