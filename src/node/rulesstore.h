#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "node/storedrules.h"
#include "rules/ruleschange.h"
#include "store/objectstore.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Reads the head and, when its changes do not lead from the known rules to it, all segments in one
/// list call. A store without a head has version 0. Conflict when the head is older than the known
/// rules, ProtocolError when a stored value is damaged, and the errors of the store.
boost::asio::awaitable<Result<StoredRules>> readRules(std::shared_ptr<ObjectStore> store,
                                                      RulesSnapshot known);

/// Stores a planned change: the segments, then the head under the condition that its object still
/// has the version given (empty: that there is none). Tries again, and reads back after a lost
/// answer, until the time is over. Conflict when another change came first; TimedOut when the time
/// is over and the change may have taken effect; Unavailable when it has not. The clock must
/// outlive the call.
boost::asio::awaitable<Result<Done>> commitRules(std::shared_ptr<ObjectStore> store,
                                                 const Clock &clock, RulesChange change,
                                                 std::string objectVersion,
                                                 std::chrono::milliseconds timeout);

/// Removes the segments that neither the head nor a later one can name. The head must be one that
/// was committed.
boost::asio::awaitable<Result<Done>> removeUnusedSegments(std::shared_ptr<ObjectStore> store,
                                                          RulesHead head);

} // namespace pistachiofall
