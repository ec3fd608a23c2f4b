#pragma once

#include "base/result.h"
#include "store/instancelist.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiofall {

/// A hash of what the list says. The version is left out, because the platform may raise it without
/// a change of any instance. The order of the instances counts; the store returns them by name.
std::uint64_t contentHash(const InstanceList &list);

/// The instances of the list for another instance, without the version: compressed lines of fields.
std::string encodeInstanceList(const InstanceList &list);

/// ProtocolError for damaged data.
Result<InstanceList> decodeInstanceList(std::uint64_t version, std::string_view data);

} // namespace pistachiofall
