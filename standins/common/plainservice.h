#pragma once

#include "common/countdown.h"
#include "common/httpexchange.h"
#include "common/keysightings.h"
#include "common/plainservicesettings.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::standins {

/// A stand-in for a plain service whose calls must not be repeated. It counts how often each call
/// runs.
///
/// POST to any path runs the call that the header X-Request-Id or the JSON field "id" names. POST
/// /control sets delay-ms, close-idle-ms and, each for a number of next calls, on or off: fail
/// (runs the call and answers 500), close-before-answer (runs the call and breaks the connection)
/// and close-reused (resets the connection when the next call comes on it, without running that, as
/// a server does that closes an idle connection at that moment). GET /control/runs shows the runs
/// of each call, GET /control/run-times when each of them began (microseconds of the steady clock,
/// which all processes of a machine share), GET /control/stats the counts.
class PlainService
{
public:
    explicit PlainService(const PlainServiceSettings &settings);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    /// How often the call has run.
    std::uint64_t runs(const std::string &id) const;
    /// All runs of all calls.
    std::uint64_t totalRuns() const;

    Countdown &fail() { return m_fail; }
    Countdown &closeBeforeAnswer() { return m_closeBeforeAnswer; }
    Countdown &closeReused() { return m_closeReused; }

private:
    boost::asio::awaitable<void> run(HttpExchange &exchange);
    boost::asio::awaitable<void> control(HttpExchange &exchange);
    boost::asio::awaitable<void> watchIdle(HttpExchange &exchange);
    bool setTime(const std::string &text, std::atomic<std::chrono::milliseconds> &time);
    std::string runsText() const;
    std::string runTimesText() const;
    std::string statsText() const;

    std::atomic<std::chrono::milliseconds> m_delay;
    std::atomic<std::chrono::milliseconds> m_closeIdle;
    Countdown m_fail;
    Countdown m_closeBeforeAnswer;
    Countdown m_closeReused;
    KeySightings m_keySightings;
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> m_runs;
};

} // namespace pistachiofall::standins
