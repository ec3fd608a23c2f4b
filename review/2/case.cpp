// Two batch routes to two services. The only server of the second one is lost for good: are the
// jobs of the first one finished, whose servers are sound and idle?

#include "../harness/scene.h"

#include <algorithm>

namespace {

using namespace review;

constexpr std::size_t Taker = 0;
constexpr std::size_t Reader = 1;
constexpr std::size_t FirstItems = 60;
constexpr std::size_t SecondItems = 10;
constexpr double WarmUpSeconds = 4;
constexpr double CrashAfter = 0.5;
// Three heartbeats of 1.2 s.
constexpr double EntryRemovedAfter = 3.6;
constexpr double FinishSeconds = 18;

int play(Scene &scene)
{
    Engine::Settings settings;
    settings.id = "i-second";
    settings.service = SecondService;
    settings.zone = "bureau";
    Engine second(settings, scene.record);
    second.registerAt(scene.store);
    if (!scene.start())
        return Scene::NotRun;
    // Jobs of both routes are finished before the disruption.
    std::vector<Job> jobs;
    jobs.push_back(makeJob("21000000a6f3a6f3", SecondItems));
    Job before = makeJob("22000000a6f3a6f3", SecondItems, SecondPrefix);
    if (submit(*scene.fleet, Taker, jobs.back(), scene.record) != 202
        || submit(*scene.fleet, Taker, before, scene.record) != 202)
        return Scene::NotRun;
    Scene::sleep(WarmUpSeconds);
    // Then one of each arrives at the same machine.
    jobs.push_back(makeJob("23000000a6f3a6f3", FirstItems));
    Job stopped = makeJob("24000000a6f3a6f3", SecondItems, SecondPrefix);
    if (submit(*scene.fleet, Taker, stopped, scene.record) != 202
        || submit(*scene.fleet, Taker, jobs.back(), scene.record) != 202)
        return Scene::NotRun;
    Scene::sleep(CrashAfter);
    if (Scene::hasTrouble()) {
        second.crash();
        Scene::sleep(EntryRemovedAfter);
        scene.store.remove("servers", settings.id);
    }
    scene.record.line("the traffic ends");
    Scene::sleep(FinishSeconds);
    scene.record.line("finish_s is over");
    // Items of the second route are not counted: no server can do them.
    const auto lost = scene.countLost(jobs, Reader);
    if (!lost)
        return Scene::NotRun;
    scene.record.result("LOST: " + std::to_string(*lost)
                        + " items of accepted jobs of the first route");
    return *lost > 0 ? Scene::Broken : Scene::Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return Scene::NotRun;
    Scene scene(argv[1], 3, 3);
    scene.finish(play(scene));
}
