#pragma once

#include "coord/plannerview.h"
#include "coord/shardtable.h"
#include "coord/tableplan.h"

namespace pistachiofall {

/// Plans the change of the shard table that this instance may make now. A place moves only if its
/// holder hands it over, if its holder's instance has ended, or if the instance itself has
/// restarted. Changes that any member may make are delayed by the member's rank in a rendezvous
/// hash, so that members do not race. For a rebalance, one instance (the rebalancer) requests
/// releases from several holders (RequestReleases); a release that no write has used ends with a
/// change by the holder that released (TableChangeReason::UnusedRelease). The table is null while
/// the store has none.
///
/// After the write of a ChangeTable, the caller does the following. On success it sets the table at
/// once (ShardRateLimiter::setTable). On a conflict it reads and sets the newer table. If the
/// outcome is unknown, it calls ShardRateLimiter::keepPaused and reads the table. Otherwise it
/// calls ShardRateLimiter::resumeShards.
TablePlan planTable(const ShardTable *table, const PlannerView &view);

} // namespace pistachiofall
