#pragma once

#include "common/completionrequest.h"
#include "common/countdown.h"
#include "common/enginecommands.h"
#include "common/engineload.h"
#include "common/enginesettings.h"
#include "common/httpexchange.h"
#include "common/keysightings.h"
#include "common/prefixcache.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::standins {

/// A stand-in for a model engine with continuous batching.
///
/// POST /v1/chat/completions answers whole or as a stream. The first token comes sooner by the
/// share of the prompt that the prefix cache has. GET /metrics shows the load with a lag, and the
/// blocks of prompts that were looked up in the cache and found. POST /control sets cold=on|off,
/// cold-refuses=on|off (off: requests above the cold slots are taken while it is cold) and, each
/// for a number of next requests, on or off: fail (status 500), stall (the answer goes silent after
/// 2 tokens), truncate (the stream ends without its end marker) and cut (the connection breaks
/// within the answer). GET /control/stats shows counts. GET /admin/state and POST /admin/load are
/// the commands of EngineCommands; while a version loads, requests get status 503.
class Engine
{
public:
    explicit Engine(const EngineSettings &settings);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    enum class Fault { None, Stall, Truncate, Cut };

    // A request that runs.
    struct Run
    {
        CompletionRequest request;
        Fault fault = Fault::None;
        std::uint64_t ticket = 0;
        bool isCancelled = false;
        /// The share of the prompt that was found in the prefix cache.
        double cachedShare = 0;
    };

    boost::asio::awaitable<void> admit(HttpExchange &exchange);
    boost::asio::awaitable<void> run(HttpExchange &exchange, Run &run);
    boost::asio::awaitable<void> answerWhole(HttpExchange &exchange, Run &run);
    boost::asio::awaitable<void> answerStream(HttpExchange &exchange, Run &run);
    boost::asio::awaitable<bool> generateToken(HttpExchange &exchange, Run &run, std::size_t index);
    boost::asio::awaitable<void> control(HttpExchange &exchange);
    Fault takeFault();
    std::string metricsText();
    std::string statsText();

    EngineSettings m_settings;
    EngineLoad m_load;
    PrefixCache m_prefixes;
    EngineCommands m_commands;
    KeySightings m_keySightings;
    Countdown m_fail;
    Countdown m_stall;
    Countdown m_truncate;
    Countdown m_cut;
    std::atomic<std::uint64_t> m_tokens{0};
    std::atomic<std::uint64_t> m_completed{0};
    std::atomic<std::uint64_t> m_failed{0};
    std::atomic<std::uint64_t> m_cancelled{0};
};

} // namespace pistachiofall::standins
