#pragma once

#include "common/countdown.h"
#include "common/enginesettings.h"
#include "common/httpexchange.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::standins {

/// The commands of the model engine stand-in: which version it has loaded, and the loading of
/// another one. Thread safe.
class EngineCommands
{
public:
    struct Counts
    {
        std::uint64_t accepted = 0;
        std::uint64_t rejected = 0;
        /// Commands with a lower number than one seen before, whether or not they were accepted.
        std::uint64_t late = 0;
        /// Commands that have arrived and are held back.
        std::uint64_t held = 0;
    };

    explicit EngineCommands(const EngineSettings &settings);

    /// Answers GET /admin/state and POST /admin/load.
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    /// Reads the parameters failing=VERSION (loading it fails), fencing=on|off, load_ms=N and
    /// hold=on|off|N (commands wait until hold=off); false when one is invalid.
    bool control(const HttpExchange &exchange);

    /// The version that answers requests; empty when there is none.
    std::string version();
    bool isLoading();
    Counts counts();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<void> load(HttpExchange &exchange);
    unsigned accept(const std::string &version, std::uint64_t fencing, TimePoint now);
    void finishLoad(TimePoint now);
    std::string stateText(TimePoint now);

    std::mutex m_mutex;
    std::string m_version;
    std::string m_previousVersion;
    std::string m_loadingVersion;
    std::string m_failedVersion;
    std::set<std::string> m_failing;
    std::uint64_t m_fencing = 0;
    bool m_checksFencing;
    std::chrono::milliseconds m_loadTime;
    TimePoint m_loadEnds;
    Countdown m_hold;
    // Grows with each hold=off.
    std::uint64_t m_releases = 0;
    Counts m_counts;
};

} // namespace pistachiofall::standins
