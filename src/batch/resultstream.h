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

/// The results of a job as JSON lines, in no particular order. Used by one coroutine at a time.
class ResultStream
{
public:
    ResultStream(std::shared_ptr<ObjectStore> store, Job job);

    /// The next lines, about as many as one object of the store holds, and an empty text at the
    /// end. An open job shows the results that are stored so far. A cancelled one shows the other
    /// items as errors, once its coordinator has stored all that ended. A failed call may be
    /// repeated.
    boost::asio::awaitable<Result<std::string>> next();

private:
    /// A segment whose results are being returned.
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
