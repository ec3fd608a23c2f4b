#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "coord/coordtimes.h"
#include "serving/jobitem.h"
#include "serving/jobrecord.h"
#include "store/objectspace.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Reads and writes batch jobs in the store. A job consists of one or more objects with its items
/// and of the job object, which also holds the results. The job exists once the job object exists.
/// Each update of the job object is conditional on its revision, so that two owners cannot both
/// write results.
///
/// When the results become too large for the job object, those already stored are moved to a
/// separate object, a part. The part is created before the job object refers to it, and contains
/// only stored results, whose order is final. A part left behind by a previous owner therefore
/// holds the same results that the next owner would put there, or the first of them.
class JobStore
{
public:
    template<typename T>
    using Async = boost::asio::awaitable<Result<T>>;

    /// maxObjectBytes is the store's limit on the size of an object.
    JobStore(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
             std::size_t maxObjectBytes);

    /// Stores a new job, retrying until the deadline. AlreadyExists if a job with this id exists.
    /// Unavailable guarantees that the job is not stored and will not be stored later; with any
    /// other error its state is unknown.
    Async<JobRecord> create(JobRecord record, std::vector<JobItem> items, SteadyTime deadline);

    /// Reads the newest state with all results. NotFound if the job does not exist.
    Async<JobRecord> read(std::string id);

    /// Adds the results that the record lacks from their parts.
    Async<JobRecord> completeResults(JobRecord record);

    /// Reads all items. NotFound if an object with items is missing.
    Async<std::vector<JobItem>> readItems(JobRecord record);

    /// Replaces the owner, the end flag and the results if the stored revision is that of the
    /// record. Returns the record as stored: with the new revision, and without the last results if
    /// not all of them fit. Conflict if the stored revision differs.
    Async<JobRecord> write(JobRecord record);

    /// Lists all open jobs. The list may be some seconds stale.
    Async<std::vector<JobRecord>> listOpen();

    /// The time of the store's last response to a call of this class.
    SteadyTime lastResponse() const { return m_lastResponse; }

private:
    /// Whose submission has stored the items of a job.
    enum class ItemsWriter {
        ThisCall,
        /// An earlier submission of the same job has stored some, and may have stored the job.
        Earlier,
    };

    Async<ItemsWriter> createItems(std::string id, std::vector<boost::json::value> parts,
                                   SteadyTime deadline);
    Async<Done> createItemsPart(SpaceObject object, SteadyTime deadline, ItemsWriter &writer);
    Async<JobRecord> moveResults(JobRecord record);
    Async<std::vector<JobResult>> readPart(std::string name);
    void noteResponse(bool hasResponse);

    const Clock &m_clock;
    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    std::size_t m_maxPartBytes;
    // Cache of parts by name, evicted in order of insertion. Parts never change.
    std::map<std::string, std::vector<JobResult>> m_cachedParts;
    std::deque<std::string> m_cachedPartOrder;
    SteadyTime m_lastResponse{};
};

} // namespace pistachiofall
