#pragma once

#include "record.h"
#include "store.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/array.hpp>

#include <sys/types.h>

namespace review {

/// The processes of the system, started as the deploy file says, each with the settings that the
/// template gives for a small deployment.
class Fleet
{
public:
    /// The folder for settings and logs must exist.
    Fleet(std::string folder, Store &store, Record &record);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Adds a machine with the role 'gateway'. Its processes are started by start().
    std::size_t add(const std::string &name, const std::string &zone);
    void start(std::size_t machine);
    void startAll();
    void signal(std::size_t machine, int number);
    /// Kills the process and reaps it.
    void kill(std::size_t machine);
    /// Whether all machines answer that they are ready within the time.
    bool waitReady(std::chrono::seconds timeout);
    bool isReady(std::size_t machine) const;
    bool isRunning(std::size_t machine);

    std::uint16_t callers(std::size_t machine) const { return m_machines[machine].callers; }
    const std::string &name(std::size_t machine) const { return m_machines[machine].name; }
    std::size_t size() const { return m_machines.size(); }

private:
    struct Machine
    {
        std::string name;
        std::string zone;
        std::uint16_t callers = 0;
        std::uint16_t ready = 0;
        std::uint16_t peers = 0;
        std::uint16_t metrics = 0;
        pid_t process = 0;
    };

    std::string settings(const Machine &machine) const;

    std::string m_folder;
    Store &m_store;
    Record &m_record;
    std::vector<Machine> m_machines;
};

/// An item of a batch job and the result that was listed for it.
struct Item
{
    std::string id;
    std::string path;
    /// The parts of its prompt before its own, as Prompt-Prefix lists them.
    std::string sharedParts;
    /// 'complete', 'dead' or empty.
    std::string state;
    std::string output;
    /// Its position in the list of results.
    std::size_t position = 0;
};

struct Job
{
    std::string id;
    std::string prefix;
    std::vector<Item> items;
    std::size_t listed() const;
};

constexpr const char *JobHost = "desk.example";
constexpr const char *JobPrefix = "/batch/";
constexpr const char *JobService = "atelier-lm";
// A further batch route, to a service of its own.
constexpr const char *SecondPrefix = "/batch-2/";
constexpr const char *SecondService = "atelier-lm-2";

/// Writes config/main with two batch routes like that of the sheet: due after 18 s, 3 attempts,
/// kept 60 s.
void writeConfig(Store &store);

Job makeJob(const std::string &id, std::size_t items, const std::string &prefix = JobPrefix);
/// Submits a job; the status of the answer, 0 without one.
int submit(Fleet &fleet, std::size_t machine, const Job &job, Record &record);
/// Reads all results of a job from the start and fills in the states. False unless the machine
/// answers 200.
bool readResults(Fleet &fleet, std::size_t machine, Job &job, Record &record);

} // namespace review
