#pragma once

#include "coord/coordtimes.h"
#include "fleet/promptpart.h"
#include "fleet/readlease.h"
#include "fleet/servingconfig.h"
#include "http/bufferbudget.h"
#include "http/endpointcall.h"
#include "serving/jobitem.h"
#include "serving/jobrecord.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// The progress of one batch item at the owner of its job.
struct ItemProgress
{
    enum class State { Pending, Running, Finished };

    State state = State::Pending;
    /// The data of the events so far, joined by line feeds, and the id of the last one. An
    /// interrupted or preempted item resumes after it.
    std::string output;
    bool hasOutput = false;
    std::optional<std::uint64_t> lastEventId;
    /// Of the memory for answers, for the output.
    BufferShare outputShare;
    ItemFailures failures;
    /// The number of failures after which the item is given up, by its route.
    int attempts = 0;
    /// The endpoint and the call while the item is running.
    std::string endpoint;
    std::shared_ptr<EndpointCall> call;
    /// The endpoint at which the item was preempted, which may still have its prompt.
    std::string previousEndpoint;
    bool isPreempted = false;
    /// The time for which the item has been at endpoints.
    std::chrono::milliseconds runTime{0};
    /// The item is not started before this time; set after a failure.
    SteadyTime notBefore{};
    /// Since when the item has been ready to start; the epoch when it is not.
    SteadyTime readySince{};
    /// The number of runs in a row during which the endpoint ended before it answered.
    int endedEndpoints = 0;
    /// A part of the prompt is quarantined, so that the item is not sent.
    bool isHeldBack = false;
    /// The run tests a quarantined part of the prompt.
    bool isTest = false;
    /// Forgets the output, so that the next run begins anew.
    void discardOutput();

    /// The parts of the item's prompt that other requests may share.
    PromptParts sharedParts;
    /// The service that the job's routing sends the item to; empty without a route.
    std::string service;
    /// The hash of the name of that route.
    std::uint64_t route = 0;
};

/// A batch job whose items this instance runs.
struct OwnedJob
{
    /// The newest state known to be in the store.
    JobRecord record;
    std::vector<JobItem> items;
    std::vector<ItemProgress> progress;
    /// Results that the store has not acknowledged. They are not returned to readers yet.
    std::vector<JobResult> unwritten;
    /// The configuration by which the services of the items have been chosen.
    ServingConfig::Ptr routing;
    /// When the job is due. Jobs due earlier get slots first.
    SteadyTime due{};
    /// When the last call was sent whose answer showed that this instance owns the job and that it
    /// is open, in the time of Clock::bootNow().
    SteadyTime confirmed{};
    /// Whether reads are answered from memory.
    ReadLease readLease;
    SteadyTime oldestUnwritten{};
    /// When failures of items were last sent to the store.
    SteadyTime lastFailureWrite{};
    bool isWriting = false;
    /// Results are to be written now, as the answer also confirms the ownership.
    bool isWriteUrgent = false;
    /// The store is being asked to confirm the ownership.
    bool isConfirming = false;
    /// Until when items start without a confirmation, as the store does not answer.
    SteadyTime unconfirmedUntil{};
    /// Ends the sleep of the writer; null when it is not asleep.
    std::function<void()> wakeWriter;
    /// Set when this instance no longer runs the job: it is complete, has ended, is no longer
    /// stored, or has another owner.
    bool isReleased = false;

    std::size_t finishedCount() const { return record.results.size() + unwritten.size(); }

    /// The failures of the items that are neither among the results nor finished in the store, by
    /// item.
    std::map<std::string, ItemFailures>
    unfinishedFailures(const std::vector<JobResult> &results) const;
    /// Whether the store holds the failures of the item, so that they outlive this owner.
    bool areFailuresStored(std::size_t index) const;
    bool hasUnstoredFailures() const;

    /// Applies a state returned by a read or by an acknowledged write, and removes the results that
    /// it contains from the unwritten ones. The call was sent at the time given. Reads and writes
    /// of a job overlap, so a read may return the results of a write before the write is
    /// acknowledged. Returns false, without a change, if a newer state is known.
    bool applyStored(JobRecord stored, SteadyTime sent);
};

} // namespace pistachiofall
