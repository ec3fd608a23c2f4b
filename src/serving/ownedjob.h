#pragma once

#include "coord/coordtimes.h"
#include "http/endpointcall.h"
#include "serving/jobitem.h"
#include "serving/jobrecord.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// The progress of one item at its owner.
struct ItemProgress
{
    enum class State { Pending, Running, Finished };

    State state = State::Pending;
    /// The data of the events so far, joined by line feeds, and the last of them. An item that made
    /// room goes on after it.
    std::string output;
    bool hasOutput = false;
    std::optional<std::uint64_t> lastEventId;
    /// Runs that the endpoint ended with a failure of the item.
    int failures = 0;
    /// While it runs.
    std::string endpoint;
    std::shared_ptr<EndpointCall> call;
    bool isPreempted = false;
    /// Not placed before, after a failure.
    SteadyTime notBefore{};
};

/// A batch job whose items this instance runs.
struct OwnedJob
{
    /// As the store last acknowledged it.
    JobRecord record;
    std::vector<JobItem> items;
    std::vector<ItemProgress> progress;
    /// Results that the store has not acknowledged; nobody reads them yet.
    std::vector<JobResult> unwritten;
    SteadyTime due{};
    /// When the store last confirmed that this instance owns the job and that it is open.
    SteadyTime confirmed{};
    /// When the store last acknowledged a write or answered a read of the job.
    SteadyTime acknowledged{};
    SteadyTime oldestUnwritten{};
    bool isWriting = false;
    /// Ended, or another instance owns it now.
    bool isReleased = false;

    std::size_t finishedCount() const { return record.results.size() + unwritten.size(); }

    /// Takes over what the store holds, by an acknowledged write or a read, and forgets the
    /// unwritten results that are in it: reads and writes of a job overlap, so that the results of
    /// a write may be known already when it is acknowledged. False when a newer head is known.
    bool applyStored(JobRecord stored, SteadyTime now);
};

} // namespace pistachiofall
