#pragma once

#include "batch/canceljob.h"
#include "batch/jobcoordinator.h"
#include "batch/jobreader.h"
#include "batch/jobsubmitter.h"

#include "batch/fakeendpoint.h"
#include "batch/samples.h"
#include "store/storefixture.h"

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/parse.hpp>

namespace pistachiofall::tests {

/// Stand-in for the platform, with job coordinators that share a fake endpoint.
struct BatchFixture : StoreFixture
{
    static constexpr std::size_t Shards = 16;

    /// A coordinator and the epoch at which it holds all shards; epoch 0 means that it holds none.
    struct Instance
    {
        std::shared_ptr<std::atomic<std::uint64_t>> epoch =
                std::make_shared<std::atomic<std::uint64_t>>(0);
        std::unique_ptr<JobCoordinator> coordinator;
    };

    BatchFixture()
    {
        settings.shardCount = Shards;
        settings.pollInterval = std::chrono::milliseconds{500};
        settings.idlePollInterval = settings.pollInterval;
        settings.scheduler.run.checkpointInterval = std::chrono::milliseconds{100};
        settings.scheduler.run.markInterval = std::chrono::milliseconds{20};
        settings.isIdempotent = [](const std::string &path) { return path != "/print"; };
        settings.runItem = endpoint.runItem();
    }

    std::unique_ptr<Instance> makeInstance(std::uint64_t epoch)
    {
        auto instance = std::make_unique<Instance>();
        *instance->epoch = epoch;
        auto own = settings;
        own.scheduler.owner = "i#" + std::to_string(epoch);
        own.ownsShard = [held = instance->epoch](std::uint32_t) -> std::optional<std::uint64_t> {
            const std::uint64_t value = *held;
            return value == 0 ? std::nullopt : std::optional(value);
        };
        instance->coordinator = std::make_unique<JobCoordinator>(context.get_executor(), store,
                                                                 clock, metrics, own);
        instance->coordinator->start();
        return instance;
    }

    static std::string body(int items, const std::string &path = "/v1/chat/completions")
    {
        std::string text;
        for (int item = 0; item < items; ++item)
            text += lineOf(makeItem("id-" + std::to_string(item), "hello", path));
        return text;
    }

    /// Submits the text in pieces of pieceSize bytes.
    std::future<Result<SubmittedJob>> startSubmit(const std::string &key, const std::string &text,
                                                  std::size_t pieceSize = 1000)
    {
        auto rest = std::make_shared<std::string>(text);
        auto next = [rest, pieceSize]() -> boost::asio::awaitable<Result<std::string>> {
            std::string piece = rest->substr(0, pieceSize);
            rest->erase(0, pieceSize);
            co_return piece;
        };
        JobRequest request{"acme", key, clock.wallNow() + std::chrono::hours{8}};
        return start(submitter.submit(std::move(request), std::move(next)));
    }

    Result<SubmittedJob> submit(const std::string &key, const std::string &text,
                                std::size_t pieceSize = 1000)
    {
        return wait(startSubmit(key, text, pieceSize));
    }

    Result<JobState> cancel(const JobId &id) { return run(cancelJob(store, Shards, "acme", id)); }

    JobStatus status(const JobId &id)
    {
        const auto found = run(reader.status("acme", id));
        return isOk(found) ? valueOf(found) : JobStatus{};
    }

    bool waitForState(const JobId &id, JobState state)
    {
        return waitUntil([&] { return status(id).state == state; });
    }

    /// Returns the lines of all results by custom_id. A second line for the same item appears under
    /// an extra key, which makes the test fail.
    std::map<std::string, std::string> results(const JobId &id)
    {
        std::map<std::string, std::string> lines;
        auto opened = run(reader.results("acme", id));
        if (!isOk(opened))
            return lines;
        const auto stream = valueOf(std::move(opened));
        for (;;) {
            const auto piece = run(stream->next());
            if (!isOk(piece) || valueOf(piece).empty())
                return lines;
            std::istringstream text(valueOf(piece));
            for (std::string line; std::getline(text, line);) {
                const auto parsed = boost::json::parse(line);
                const std::string customId = parsed.at("custom_id").as_string().c_str();
                if (!lines.emplace(customId, line).second)
                    lines["duplicate " + customId] = line;
            }
        }
    }

    std::uint64_t storeWrites()
    {
        return metrics.counter("store_calls_total", {{"kind", "create"}}).value()
                + metrics.counter("store_calls_total", {{"kind", "update"}}).value();
    }

    // Instead of the base's store, whose call timeout is too short for large objects in an
    // instrumented build.
    std::shared_ptr<ObjectStore> openStore()
    {
        StoreSettings storeSettings;
        storeSettings.address = "127.0.0.1:" + std::to_string(platformPort);
        store = valueOf(ObjectStore::create(context.get_executor(), storeSettings, clock, metrics));
        return store;
    }

    FakeEndpoint endpoint;
    JobCoordinatorSettings settings;
    JobSubmitter submitter{openStore(), Shards, clock};
    JobReader reader{store};
};

} // namespace pistachiofall::tests
