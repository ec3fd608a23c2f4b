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

/// Batch jobs in the store: one object with the items, or several if they are large, and one that
/// is the job itself, which holds the results too. The job exists once that object does, and each
/// change of it is conditional on its revision, so that two owners can not both write results.
///
/// When the results get too large for one object, those that are stored already move to an object
/// of their own. It is created before the job names it, and only with stored results, whose order
/// is final: one that an owner left behind holds the same results as the next owner would put
/// there, or the first of them.
class JobStore
{
public:
    template<typename T>
    using Async = boost::asio::awaitable<Result<T>>;

    /// No object is larger than the maximum.
    JobStore(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
             std::size_t maxObjectBytes);

    /// Stores a job by the deadline. AlreadyExists when there is one of the id. Unavailable
    /// promises that it is not stored and never will be; any other error promises nothing.
    Async<JobRecord> create(JobRecord record, std::vector<JobItem> items, SteadyTime deadline);

    /// The newest state. NotFound when there is no such job.
    Async<JobRecord> read(std::string id);

    /// Fills in the results that the head lacks.
    Async<JobRecord> completeResults(JobRecord record);

    /// NotFound when an object with items is missing.
    Async<std::vector<JobItem>> readItems(JobRecord record);

    /// Replaces owner, end and results if the revision is still that of the head, and returns the
    /// head as it is stored now: with the new revision, and without the last results if not all of
    /// them fit. Conflict when the revision is another one.
    Async<JobRecord> write(JobRecord record);

    /// All jobs that are open. May be seconds old.
    Async<std::vector<JobRecord>> listOpen();

    /// When the store last answered a call of this class.
    SteadyTime lastResponse() const { return m_lastResponse; }

private:
    Async<Done> createItems(std::string id, std::vector<boost::json::value> parts,
                            SteadyTime deadline);
    Async<JobRecord> moveResults(JobRecord record);
    Async<std::vector<JobResult>> readPart(std::string name);
    void noteResponse(bool hasResponse);

    const Clock &m_clock;
    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    std::size_t m_maxPartBytes;
    // Parts never change. By name; the oldest use is forgotten first.
    std::map<std::string, std::vector<JobResult>> m_cachedParts;
    std::deque<std::string> m_cachedPartOrder;
    SteadyTime m_lastResponse{};
};

} // namespace pistachiofall
