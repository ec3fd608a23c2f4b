#pragma once

#include "base/result.h"
#include "batch/jobid.h"
#include "batch/progress.h"
#include "store/storedobject.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace pistachiofall {

/// Maximum size of a progress object. Results are moved to a part before it would be exceeded.
inline constexpr std::size_t MaxProgressBytes = 600'000;

std::string progressObjectName(const JobId &job, std::uint32_t segment);

/// Returns the object of a segment's progress, without a version. Its labels are kind=progress and
/// job=ID.
StoredObject encodeProgress(const JobId &job, std::uint32_t segment, const Progress &progress);

/// Returns ProtocolError if the data is corrupt or belongs to another object.
Result<Progress> decodeProgress(const JobId &job, std::uint32_t segment,
                                const StoredObject &object);

} // namespace pistachiofall
