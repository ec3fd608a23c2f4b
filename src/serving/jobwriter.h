#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "serving/jobstore.h"
#include "serving/ownedjob.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Writes what the owner of a job learns to the store: results, which are collected for a while,
/// and the failures of items, which are written at once, so that an instance that takes the job
/// over knows them. Not thread safe.
class JobWriter
{
public:
    using JobPtr = std::shared_ptr<OwnedJob>;
    /// Called when the job is complete in the store, or no longer belongs to this instance.
    using Release = std::function<void(const JobPtr &job, std::string_view reason)>;

    /// The owner identifies this instance and its process, as "name/incarnation".
    JobWriter(const boost::asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
              JobStore &store, std::string owner, Release release);

    /// Writes the results and failures of the job that the store does not hold, when they are due.
    void requestWrite(const JobPtr &job);

    /// Asks the store whether the job is open and still owned by this instance: by a write of the
    /// results that wait, or by a read if none do. Returns false if the store did not answer.
    boost::asio::awaitable<bool> confirm(JobPtr job);

    /// Reads the job and applies the stored state. Releases the job if it no longer exists, has
    /// ended or belongs to another owner. Returns false if the read failed.
    boost::asio::awaitable<bool> reconcile(JobPtr job);

    /// From now on results are written at once.
    void stop() { m_isStopping = true; }

private:
    boost::asio::awaitable<void> run(JobPtr job);
    boost::asio::awaitable<void> write(JobPtr job);
    boost::asio::awaitable<void> sleep(JobPtr job, std::chrono::milliseconds time);
    bool areResultsHeldBack(const OwnedJob &job) const;
    std::chrono::milliseconds timeToWrite(const OwnedJob &job) const;
    void releaseIfNotOwned(const JobPtr &job);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    JobStore &m_store;
    std::string m_owner;
    Release m_release;
    bool m_isStopping = false;
};

} // namespace pistachiofall
