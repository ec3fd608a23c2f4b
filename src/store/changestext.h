#pragma once

#include "base/result.h"
#include "store/objectspace.h"

#include <string>
#include <string_view>

namespace pistachiofall::store {

/// The form in which one instance passes changes of the store's objects on to another.
std::string encodeChanges(const SpaceChanges &changes);

/// Fails with ProtocolError, which names what is wrong, if the text is not a list of changes with a
/// revision, or if one of them has no name or a revision that is not a positive number.
Result<SpaceChanges> decodeChanges(std::string_view text);

} // namespace pistachiofall::store
