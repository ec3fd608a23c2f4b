// One item has a prompt part that crashes servers. The items of another job share its other part,
// which is sound, and arrive at another machine: are they finished?

#include "../harness/scene.h"

#include <algorithm>

namespace {

using namespace review;

constexpr std::size_t Machines = 6;
constexpr std::size_t Engines = 9;
constexpr std::size_t ItemsOfJob = 10;
constexpr std::size_t DeadlyTaker = 0;
constexpr std::size_t SoundTaker = 1;
constexpr std::size_t CrashesSeen = 3;
constexpr double CrashesWithin = 15;
constexpr double SoundAfter = 0.5;
// A crashed server is back after that time; its entry is removed after three heartbeats.
constexpr double BackAfter = 3;
constexpr double EntryRemovedAfter = 3.6;
constexpr double FinishSeconds = 18;
constexpr const char *SoundPart = "5c1e07a2:100";
constexpr const char *DeadlyPart = "91bd3f06:110";

/// A server that has crashed.
struct Crash
{
    Engine *engine = nullptr;
    double time = 0;
    bool isBack = false;
    bool isRemoved = false;
};

/// Brings crashed servers back, each under a new name, while the scene goes on.
class Servers
{
public:
    explicit Servers(Scene &scene)
        : m_scene(scene)
    { }

    std::size_t crashes() const { return m_crashes.size(); }

    void run(double seconds)
    {
        const double end = m_scene.record.now() + seconds;
        while (m_scene.record.now() < end) {
            Scene::sleep(0.02);
            findCrashes();
            for (Crash &crash : m_crashes)
                lookAfter(crash);
        }
    }

private:
    void findCrashes()
    {
        for (const auto &engine : m_scene.engines) {
            const bool isKnown =
                    std::any_of(m_crashes.begin(), m_crashes.end(),
                                [&](const Crash &crash) { return crash.engine == engine.get(); });
            if (engine->isDown() && !isKnown)
                m_crashes.push_back({engine.get(), m_scene.record.now(), false, false});
        }
    }

    void lookAfter(Crash &crash)
    {
        const double age = m_scene.record.now() - crash.time;
        Engine::Settings settings = crash.engine->settings();
        if (age > EntryRemovedAfter && !crash.isRemoved) {
            m_scene.store.remove("servers", settings.id);
            crash.isRemoved = true;
        }
        if (age > BackAfter && !crash.isBack) {
            settings.id += "b";
            auto next = std::make_unique<Engine>(settings, m_scene.record);
            next->answerStatus = crash.engine->answerStatus;
            next->registerAt(m_scene.store);
            m_scene.engines.push_back(std::move(next));
            crash.isBack = true;
        }
    }

    Scene &m_scene;
    std::vector<Crash> m_crashes;
};

int answerTo(const Message &request)
{
    const bool isDeadly = request.header("Prompt-Prefix").find(DeadlyPart) != std::string::npos;
    return Scene::hasTrouble() && isDeadly ? Engine::Crash : 0;
}

int play(Scene &scene)
{
    for (const auto &engine : scene.engines)
        engine->answerStatus = answerTo;
    if (!scene.start())
        return Scene::NotRun;
    Servers servers(scene);
    Job mixed = makeJob("51000000a6f3a6f3", ItemsOfJob);
    mixed.items.front().sharedParts = std::string(SoundPart) + "," + DeadlyPart;
    if (submit(*scene.fleet, DeadlyTaker, mixed, scene.record) != 202)
        return Scene::NotRun;
    const double begin = scene.record.now();
    while (Scene::hasTrouble() && servers.crashes() < CrashesSeen) {
        servers.run(0.1);
        if (scene.record.now() > begin + CrashesWithin)
            return Scene::NotRun;
    }
    servers.run(SoundAfter);
    std::vector<Job> sound{makeJob("52000000a6f3a6f3", ItemsOfJob)};
    for (Item &item : sound.front().items)
        item.sharedParts = SoundPart;
    if (submit(*scene.fleet, SoundTaker, sound.front(), scene.record) != 202)
        return Scene::NotRun;
    scene.record.line("the traffic ends");
    servers.run(FinishSeconds);
    scene.record.line("finish_s is over; servers crashed: " + std::to_string(servers.crashes()));
    const auto lost = scene.countLost(sound, SoundTaker);
    if (!lost)
        return Scene::NotRun;
    scene.record.result("LOST: " + std::to_string(*lost) + " sound items of an accepted job");
    return *lost > 0 ? Scene::Broken : Scene::Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return Scene::NotRun;
    Scene scene(argv[1], Machines, Engines);
    scene.finish(play(scene));
}
