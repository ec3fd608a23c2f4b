// An item that can never be done, while the machine that owns its job is killed again and again:
// how often does it reach a server?

#include "../harness/scene.h"

#include <algorithm>
#include <map>
#include <string>

namespace {

using namespace review;

constexpr std::size_t Machines = 6;
constexpr std::size_t ItemsOfJob = 10;
constexpr std::size_t Kills = 3;
// After the item has been answered 422. The other items of the job take 0.85 s.
constexpr double KillAfter = 0.6;
constexpr double RestartAfter = 3.5;
constexpr double EndAfter = 16;
// contact_ms
constexpr double ContactSeconds = 3;
constexpr std::size_t MaxUnprocessable = 3;
constexpr int Unprocessable = 422;

struct Takeover
{
    double time = 0;
    std::string machine;
};

// The machine that the store names as the owner of the job.
std::string ownerOf(Scene &scene, const std::string &job)
{
    const boost::json::object object = scene.store.get("pistachiofall-jobs", job);
    for (const char *part : {"status", "spec"}) {
        const auto *fields = object.contains(part) ? object.at(part).if_object() : nullptr;
        if (fields == nullptr || !fields->contains("owner"))
            continue;
        const std::string owner = fields->at("owner").as_string().c_str();
        if (!owner.empty())
            return owner.substr(0, owner.find('/'));
    }
    return {};
}

int play(Scene &scene)
{
    if (!scene.start())
        return Scene::NotRun;
    Scene::sleep(ContactSeconds + 1);
    const Job job = makeJob("30000000a6f3a6f3", ItemsOfJob);
    const std::string poison = job.items.front().id;
    for (const auto &engine : scene.engines)
        engine->answerStatus = [poison](const Message &request) {
            return request.header("Request-Id") == poison ? Unprocessable : 0;
        };
    if (submit(*scene.fleet, 0, job, scene.record) != 202)
        return Scene::NotRun;
    const double begin = scene.record.now();
    // When a disruption of each machine last began or ended.
    std::map<std::string, double> disrupted;
    std::size_t kills = 0;
    // The machines that are down, and when each is started again.
    std::map<std::size_t, double> down;
    std::size_t arrivals = 0;
    std::size_t broken = 0;
    double lastArrival = begin;
    while (scene.record.now() < begin + EndAfter) {
        Scene::sleep(0.01);
        const double now = scene.record.now();
        const std::string owner = ownerOf(scene, job.id);
        std::size_t seen = 0;
        for (const auto &engine : scene.engines) {
            const auto runs = engine->runs();
            seen += static_cast<std::size_t>(
                    std::count_if(runs.begin(), runs.end(),
                                  [&](const Engine::Run &run) { return run.requestId == poison; }));
        }
        for (; arrivals < seen; ++arrivals) {
            const auto found = disrupted.find(owner);
            const bool isInTouch = found == disrupted.end() || now - found->second > ContactSeconds;
            const bool isBroken = arrivals >= MaxUnprocessable && isInTouch;
            broken += isBroken ? 1 : 0;
            lastArrival = now;
            scene.record.result("arrival " + std::to_string(arrivals + 1)
                                + " of the item that can never be done, from " + owner
                                + (isInTouch ? ", in touch" : ", not in touch"));
        }
        const bool isKillDue = kills < Kills && arrivals > kills && now >= lastArrival + KillAfter;
        for (std::size_t machine = 0; machine < Machines; ++machine) {
            const bool isDown = down.contains(machine);
            if (isDown && now >= down[machine]) {
                scene.fleet->start(machine);
                disrupted[scene.fleet->name(machine)] = now;
                down.erase(machine);
            }
            if (Scene::hasTrouble() && isKillDue && !isDown
                && scene.fleet->name(machine) == owner) {
                scene.fleet->kill(machine);
                disrupted[owner] = now;
                down[machine] = now + RestartAfter;
                ++kills;
            }
        }
    }
    scene.record.result("BUDGET: " + std::to_string(broken)
                        + " arrivals from machines in touch after three answers of 422");
    return broken > 0 ? Scene::Broken : Scene::Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return Scene::NotRun;
    Scene scene(argv[1], Machines, 9);
    scene.finish(play(scene));
}
