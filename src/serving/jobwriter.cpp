#include "serving/jobwriter.h"

#include "store/writeoutcome.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// The shortest interval between two writes of a job's results. Callers read a job twice a second.
constexpr milliseconds MinWriteInterval{1000};
// Results that are not due soon are collected for this part of the time that is left.
constexpr int WriteIntervalDivisor = 6;
// The shortest interval between two writes for the failures of items, so that a job whose items all
// fail does not take the store's writes from the others.
constexpr milliseconds FailureWriteInterval{100};
constexpr milliseconds WriteRetryDelay{100};
constexpr milliseconds ConfirmTimeout{1000};
constexpr milliseconds ConfirmPollInterval{10};
constexpr milliseconds MinWait{10};
constexpr milliseconds MaxWait{100};

// Each write of results stores all of them again, so the writes of a long job are spread over the
// time until it is due.
milliseconds writeInterval(SteadyTime::duration untilDue)
{
    const auto part = std::chrono::duration_cast<milliseconds>(untilDue) / WriteIntervalDivisor;
    return std::max(MinWriteInterval, part);
}

} // namespace

JobWriter::JobWriter(const asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
                     JobStore &store, std::string owner, Release release)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_store(store)
    , m_owner(std::move(owner))
    , m_release(std::move(release))
{ }

void JobWriter::requestWrite(const JobPtr &job)
{
    if (job->wakeWriter)
        job->wakeWriter();
    if (std::exchange(job->isWriting, true))
        return;
    asio::co_spawn(m_executor, run(job), asio::detached);
}

// Another instance that answered for the job before may still show less than these results.
bool JobWriter::areResultsHeldBack(const OwnedJob &job) const
{
    return m_clock.bootNow() < job.readLease.resultsFrom();
}

// Zero or less if something is to be written now.
milliseconds JobWriter::timeToWrite(const OwnedJob &job) const
{
    const auto now = m_clock.now();
    const auto until = [now](SteadyTime time) {
        return std::chrono::ceil<milliseconds>(time - now);
    };
    milliseconds wait = MaxWait;
    if (job.hasUnstoredFailures())
        wait = until(job.lastFailureWrite + FailureWriteInterval);
    if (job.unwritten.empty() || areResultsHeldBack(job))
        return wait;
    const bool isComplete = job.finishedCount() == job.record.itemCount;
    if (isComplete || m_isStopping || job.isWriteUrgent)
        return milliseconds{0};
    return std::min(wait, until(job.oldestUnwritten + writeInterval(job.due - now)));
}

// Writes until nothing is left to write, then releases the job if it is complete.
asio::awaitable<void> JobWriter::run(JobPtr job)
{
    while (!job->isReleased && (!job->unwritten.empty() || job->hasUnstoredFailures())) {
        const milliseconds wait = timeToWrite(*job);
        if (wait.count() > 0)
            co_await sleep(job, std::clamp(wait, MinWait, MaxWait));
        else
            co_await write(job);
    }
    job->isWriting = false;
    if (!job->isReleased && job->record.results.size() >= job->record.itemCount)
        m_release(job, "complete");
}

// Sleeps until the time is over or there is more to write.
asio::awaitable<void> JobWriter::sleep(JobPtr job, milliseconds time)
{
    asio::steady_timer timer(m_executor);
    timer.expires_after(time);
    job->wakeWriter = [&timer] { timer.cancel(); };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    job->wakeWriter = nullptr;
}

asio::awaitable<void> JobWriter::write(JobPtr job)
{
    job->isWriteUrgent = false;
    JobRecord next = job->record;
    next.owner = m_owner;
    if (!areResultsHeldBack(*job))
        next.results.insert(next.results.end(), job->unwritten.begin(), job->unwritten.end());
    next.failures = job->unfinishedFailures(next.results);
    if (next.failures != job->record.failures)
        job->lastFailureWrite = m_clock.now();
    const auto sent = m_clock.bootNow();
    job->readLease.recordWriteSent();
    auto written = co_await m_store.write(std::move(next));
    if (isOk(written)) {
        job->readLease.recordWriteSettled();
        job->readLease.recordConfirmation(sent);
        job->applyStored(valueOf(std::move(written)), sent);
        job->oldestUnwritten = m_clock.now();
        releaseIfNotOwned(job);
        co_return;
    }
    m_log.warning("results_not_written",
                  {{"job", job->record.id}, {"reason", errorOf(written).message}});
    // After a conflict, the stored job may show more than this owner knows.
    if (!mayBeApplied(errorOf(written)) && errorOf(written).code != ErrorCode::Conflict)
        job->readLease.recordWriteSettled();
    else
        job->readLease.recordWriteUncertain();
    co_await reconcile(job);
    if (!job->isReleased)
        co_await sleepFor(WriteRetryDelay);
}

// A write that is brought forward takes the place of a later one, and a read does not.
asio::awaitable<bool> JobWriter::confirm(JobPtr job)
{
    if (job->unwritten.empty() || areResultsHeldBack(*job))
        co_return co_await reconcile(job);
    const auto asked = m_clock.bootNow();
    const auto until = m_clock.now() + ConfirmTimeout;
    job->isWriteUrgent = true;
    requestWrite(job);
    while (!job->isReleased && job->confirmed < asked && m_clock.now() < until) {
        // A write that was on its way has taken all results.
        if (!job->isWriting)
            co_return co_await reconcile(job);
        co_await sleepFor(ConfirmPollInterval);
    }
    co_return job->isReleased || job->confirmed >= asked;
}

asio::awaitable<bool> JobWriter::reconcile(JobPtr job)
{
    std::string id = job->record.id;
    const auto sent = m_clock.bootNow();
    auto stored = co_await m_store.read(std::move(id));
    if (!isOk(stored)) {
        if (errorOf(stored).code == ErrorCode::NotFound)
            m_release(job, "not_stored");
        co_return false;
    }
    if (valueOf(stored).owner == m_owner)
        job->readLease.recordConfirmation(sent);
    job->applyStored(valueOf(std::move(stored)), sent);
    releaseIfNotOwned(job);
    co_return true;
}

void JobWriter::releaseIfNotOwned(const JobPtr &job)
{
    if (job->record.owner != m_owner)
        m_release(job, "other_owner");
    else if (job->record.hasEnded)
        m_release(job, "ended");
}

} // namespace pistachiofall
