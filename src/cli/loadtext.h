#pragma once

#include "cli/loadbatch.h"
#include "cli/loadbatchresult.h"
#include "cli/loadflow.h"
#include "cli/loadresult.h"

#include <string>
#include <vector>

namespace pistachiofall {

/// Formats the results of the batch jobs of a load run as a table. Empty when there are no jobs.
std::string formatBatchTable(const std::vector<LoadBatch> &batches,
                             const std::vector<LoadBatchResult> &results);

/// Formats the results of a load run as a table with one line per flow. Flows are numbered from 1
/// in the order given. Keys are not shown.
std::string formatLoadTable(const std::vector<LoadFlow> &flows,
                            const std::vector<LoadResult> &results);

/// Formats the results as a JSON array with one object per flow, one for all streams together, and
/// one per batch job. Times are in milliseconds and are left out without samples. "seconds" lists
/// for each second of the intended send times the number of requests sent, answered with status
/// 200, answered within the objective, and answered with status 429.
std::string formatLoadJson(const std::vector<LoadFlow> &flows,
                           const std::vector<LoadResult> &results,
                           const std::vector<LoadBatch> &batches = {},
                           const std::vector<LoadBatchResult> &batchResults = {});

} // namespace pistachiofall
