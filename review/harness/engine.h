#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// A sound model server: streams the events of each request, resumes after Last-Event-Id, refuses
/// with Not-Run what exceeds its slots, and drops a request whose connection closes.
class Engine
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 8;
        int events = 203;
        std::chrono::milliseconds eventTime{4};
    };

    /// A request that the server has begun to run. The end is 0 while it runs.
    struct Run
    {
        double begin = 0;
        double end = 0;
        std::string requestId;
        std::string organisation;
        bool isComplete = false;
    };

    Engine(Settings settings, Record &record);

    /// The data of an event, 65 bytes.
    static std::string eventData(const std::string &requestId, int event);

    /// Writes the server's entry into the store.
    void registerAt(Store &store) const;
    /// Resets all connections and refuses further ones, as the server's process has ended.
    void crash();
    /// Statuses other than a stream for certain requests; 0 for none, Crash if the server's process
    /// ends as it begins to answer.
    std::function<int(const Message &request)> answerStatus;
    static constexpr int Crash = -1;

    std::vector<Run> runs();
    const Settings &settings() const { return m_settings; }
    bool isDown() const { return m_isDown; }
    int running() const { return m_running; }

private:
    void handle(Exchange &exchange);
    void stream(Exchange &exchange, std::size_t run);

    Settings m_settings;
    Record &m_record;
    std::atomic<bool> m_isDown = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    Listener m_listener;
};

} // namespace review
