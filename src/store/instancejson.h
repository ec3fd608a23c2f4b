#pragma once

#include "base/result.h"
#include "store/instancelist.h"

#include <string_view>

namespace pistachiofall::store::detail {

/// Parses the text of an EndpointSliceList:
///
/// - name: endpoints[].targetRef.name;
/// - failure domain: endpoints[].zone;
/// - peer and admin address: the first of endpoints[].addresses with the slice's ports that are
///   named "peer" and "admin". Instances with different ports are in different slices;
/// - leaving: conditions.terminating;
/// - version: metadata.resourceVersion of the list, which the API compares as a number.
///
/// An instance that is not ready is listed too: its process runs and may own shards. An endpoint
/// that a slice migration shows twice is listed once. ProtocolError when a field is missing.
Result<InstanceList> decodeInstances(std::string_view text);

} // namespace pistachiofall::store::detail
