#pragma once

#include "system/spacefleet.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pistachiofall::tests {

/// Compares the version of the configuration that each instance has in force, read from its metrics
/// all the time, with the versions that the store has acknowledged.
class ConfigWatch
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Within this time after the acknowledgement, a version is in force at each instance that has
    /// been undisturbed for the contact time.
    static constexpr std::chrono::milliseconds ChangeBound{2000};
    static constexpr std::chrono::milliseconds ContactTime{3000};
    /// What a disturbance of the store adds to the bound.
    static constexpr std::chrono::milliseconds StoreDisturbedBound{5000};

    ConfigWatch(SpaceFleet &fleet, int instances);
    ~ConfigWatch();
    ConfigWatch(const ConfigWatch &) = delete;
    ConfigWatch &operator=(const ConfigWatch &) = delete;

    /// The store has acknowledged the version just now.
    void acknowledged(int version);
    /// A fault at the instance, or its restart, begins or ends now.
    void disturb(int index);
    /// The process of the instance was started anew, so that it may begin with any version.
    void restarted(int index);

    /// Whether all instances have the version in force before the bound has passed.
    bool waitInForce(int version, std::chrono::milliseconds bound = ChangeBound);

    /// What went wrong so far, one line each; empty if nothing did.
    std::string violations();

private:
    struct Acknowledgement
    {
        int version = 0;
        TimePoint time;
    };
    struct Instance
    {
        TimePoint disturbed;
        std::int64_t version = -1;
        std::int64_t newest = 0;
        int incarnation = 0;
        bool isReported = false;
    };

    void sample(int index);
    void check(int index, TimePoint asked, std::int64_t version);
    int owed(TimePoint asked) const;

    SpaceFleet &m_fleet;
    std::mutex m_mutex;
    std::vector<Acknowledgement> m_acknowledged;
    std::vector<Instance> m_instances;
    std::string m_violations;
    std::atomic<bool> m_isDone{false};
    std::vector<std::thread> m_samplers;
};

} // namespace pistachiofall::tests
