#pragma once

#include "engine.h"
#include "fleet.h"
#include "record.h"
#include "store.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// A small deployment in one place: a store, servers, machines with the role 'gateway', and a
/// temporary folder that is removed at the end.
class Scene
{
public:
    static constexpr int Held = 0;
    static constexpr int Broken = 1;
    static constexpr int NotRun = 2;

    Scene(const std::string &recordFile, std::size_t machines, std::size_t engines);
    ~Scene() = default;
    Scene(const Scene &) = delete;
    Scene &operator=(const Scene &) = delete;

    /// Starts all processes; false if they do not become ready.
    bool start();
    /// Whether the disruption is to be played: unless the environment says TROUBLE=0.
    static bool hasTrouble();
    /// Ends all processes, removes the folder and exits. The threads of the stand-ins go on until
    /// then.
    [[noreturn]] void finish(int result);
    static void sleep(double seconds);

    /// The rule LOST for items of open jobs at the end of finish_s: the items that a machine lists
    /// neither as complete nor as dead, though in the last 5 s no server had an unlisted item of
    /// their job and less than half of the slots were taken, and in the last 3 s no item of any job
    /// was finished. The number of these items, or nothing if the machine does not answer.
    std::optional<std::size_t> countLost(std::vector<Job> &jobs, std::size_t machine);

    Record record;
    Store store;
    std::vector<std::unique_ptr<Engine>> engines;
    std::unique_ptr<Fleet> fleet;

private:
    std::string m_folder;
};

} // namespace review
