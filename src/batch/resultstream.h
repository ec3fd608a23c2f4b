#pragma once

#include "base/result.h"
#include "batch/job.h"
#include "batch/progress.h"
#include "store/objectstore.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Streams the results of a job as JSON lines in unspecified order. Must be used by one coroutine
/// at a time.
class ResultStream
{
public:
    ResultStream(std::shared_ptr<ObjectStore> store, Job job);

    /// Returns the next lines, about as many as fit into one store object, or an empty string at
    /// the end. For an open job, returns the results stored so far. For a cancelled job, the
    /// remaining items are returned as errors once its coordinator has stored the results of all
    /// finished items. A failed call may be repeated.
    boost::asio::awaitable<Result<std::string>> next();

private:
    /// State of the segment whose results are being returned.
    struct Segment
    {
        std::vector<std::string> customIds;
        Progress progress;
        std::size_t nextPart = 0;
        bool isRemainderReturned = false;
    };

    boost::asio::awaitable<Result<Done>> loadSegment();
    boost::asio::awaitable<Result<ResultMap>> loadPart(const ResultPart &part);
    boost::asio::awaitable<Result<std::string>> nextSegmentLines();
    std::string formatResults(const ResultMap &results) const;
    std::string formatItemsWithoutResult() const;

    std::shared_ptr<ObjectStore> m_store;
    Job m_job;
    std::size_t m_index = 0;
    std::optional<Segment> m_segment;
};

} // namespace pistachiofall
