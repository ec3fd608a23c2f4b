#include "scene.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <unistd.h>

namespace review {

namespace {

constexpr double CalmSeconds = 5;
constexpr double UnfinishedSeconds = 3;
constexpr std::array<const char *, 3> Zones{"baie-a", "baie-b", "bureau"};

std::string makeFolder()
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path();
    std::string path = (folder / "pf-review-XXXXXX").string();
    return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

} // namespace

Scene::Scene(const std::string &recordFile, std::size_t machines, std::size_t engineCount)
    : record(recordFile)
    , m_folder(makeFolder())
{
    writeConfig(store);
    for (std::size_t index = 0; index < engineCount; ++index) {
        Engine::Settings settings;
        settings.id = "i-" + std::to_string(index);
        settings.service = JobService;
        settings.zone = Zones[index % Zones.size()];
        engines.push_back(std::make_unique<Engine>(settings, record));
        engines.back()->registerAt(store);
    }
    fleet = std::make_unique<Fleet>(m_folder, store, record);
    for (std::size_t index = 0; index < machines; ++index) {
        const std::string zone = Zones[index % Zones.size()];
        fleet->add("front-" + zone + "-" + std::to_string(index / Zones.size() + 1), zone);
    }
}

void Scene::finish(int result)
{
    fleet.reset();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
    std::_Exit(result);
}

bool Scene::start()
{
    fleet->startAll();
    return !m_folder.empty() && fleet->waitReady(std::chrono::seconds{10});
}

bool Scene::hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void Scene::sleep(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::optional<std::size_t> Scene::countLost(std::vector<Job> &jobs, std::size_t machine)
{
    const double end = record.now();
    double lastFinished = 0;
    std::vector<Engine::Run> recent;
    int running = 0;
    for (const auto &engine : engines) {
        running += engine->running();
        for (const Engine::Run &run : engine->runs()) {
            if (run.end > 0 && run.isComplete)
                lastFinished = std::max(lastFinished, run.end);
            if (run.end == 0 || end - run.end < CalmSeconds)
                recent.push_back(run);
        }
    }
    if (end - lastFinished < UnfinishedSeconds) {
        record.result("an item was finished less than 3 s ago");
        return 0;
    }
    if (running * 2 >= static_cast<int>(engines.size()) * 8)
        return 0;
    std::size_t lost = 0;
    for (Job &job : jobs) {
        if (!readResults(*fleet, machine, job, record))
            return std::nullopt;
        const bool isHad = std::any_of(recent.begin(), recent.end(), [&](const Engine::Run &run) {
            return std::any_of(job.items.begin(), job.items.end(), [&](const Item &item) {
                return item.id == run.requestId && item.state.empty();
            });
        });
        const std::size_t unlisted = job.items.size() - job.listed();
        if (unlisted > 0)
            record.result("job " + job.id + ": " + std::to_string(unlisted) + " of "
                          + std::to_string(job.items.size()) + " items are not listed"
                          + (isHad ? ", but a server had one of them in the last 5 s" : ""));
        lost += isHad ? 0 : unlisted;
    }
    return lost;
}

} // namespace review
