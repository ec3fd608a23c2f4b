#pragma once

#include "base/result.h"
#include "store/storedobject.h"

#include <string_view>

namespace pistachiofall::store::detail {

/// One line of a watch.
struct WatchEvent
{
    enum class Type {
        /// ADDED or MODIFIED; the object is its state after the change.
        Changed,
        /// DELETED.
        Removed,
        /// ERROR with status 410: the store no longer knows the changes since the version.
        Expired,
        /// BOOKMARK, and types that this client does not know.
        Other,
    };

    Type type = Type::Other;
    StoredObject object;
};

/// Parses {"type": ..., "object": ...}. An ERROR event is an error, except for an expired version.
Result<WatchEvent> decodeWatchEvent(std::string_view line);

} // namespace pistachiofall::store::detail
