#pragma once

#include "base/result.h"
#include "store/objectlist.h"
#include "store/storedobject.h"

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace pistachiofall::store::detail {

/// The ConfigMap that holds the object: labels in metadata, the data in binaryData under the key
/// "data". An empty version is left out.
std::string encodeObject(const StoredObject &object, std::string_view nameSpace);

/// Reads a ConfigMap. ProtocolError when it has no name or version, or data that is not base64.
Result<StoredObject> decodeObject(const boost::json::value &value);

/// Parses the text of a ConfigMap.
Result<StoredObject> decodeObjectText(std::string_view text);

/// Parses the text of a ConfigMapList.
Result<ObjectList> decodeObjectList(std::string_view text);

} // namespace pistachiofall::store::detail
