// Measures what batch jobs cost: calls and bytes of the store, and processor time of an instance
// without its endpoints. The platform's stand-in and a proxy that counts bytes run on threads of
// their own, whose time is left out.
//
//   batchcost ITEMS ITEM_MS IN_FLIGHT
//
// runs one job of ITEMS items of about 1 KB in and 1 KB out of random words, of which IN_FLIGHT run
// at a time for ITEM_MS each.

#include "base/systemclock.h"
#include "batch/jobcoordinator.h"
#include "batch/jobreader.h"
#include "batch/jobsubmitter.h"

#include "batch/samples.h"
#include "common/controlclient.h"
#include "common/faultproxy.h"
#include "common/platformserver.h"
#include "support/iothreads.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>

#include <pthread.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t TextBytes = 900;
constexpr std::size_t Answers = 1000;
constexpr std::size_t Shards = 256;

std::string orExit(const Result<std::string> &result)
{
    if (!isOk(result)) {
        std::fprintf(stderr, "%s\n", errorOf(result).message.c_str());
        std::exit(1);
    }
    return valueOf(result);
}

// The processor time of the one thread of an executor.
class ThreadTime
{
public:
    explicit ThreadTime(tests::IoThreads &io)
    {
        clockid_t clock{};
        boost::asio::co_spawn(io.executor(), find(&clock), boost::asio::use_future).get();
        m_clock = clock;
    }

    double seconds() const
    {
        timespec time{};
        clock_gettime(m_clock, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

private:
    static boost::asio::awaitable<void> find(clockid_t *clock)
    {
        pthread_getcpuclockid(pthread_self(), clock);
        co_return;
    }

    clockid_t m_clock{};
};

struct Setup
{
    Setup()
        : proxy(platformIo.executor())
    {
        platformPort = valueOf(standins::startPlatformServer(platformIo.executor(), "127.0.0.1:0",
                                                             milliseconds{100}));
        const auto port =
                proxy.addRoute("store", "127.0.0.1:0", "127.0.0.1:" + std::to_string(platformPort));
        proxyPort = valueOf(proxy.startControl("127.0.0.1:0"));
        StoreSettings settings;
        settings.address = "127.0.0.1:" + std::to_string(valueOf(port));
        store = valueOf(ObjectStore::create(io.executor(), settings, clock, metrics));
    }

    std::uint64_t calls(const char *kind)
    {
        return metrics.counter("store_calls_total", {{"kind", kind}}).value();
    }

    std::int64_t bytesSent() const
    {
        const auto text = orExit(standins::callControl(proxyPort, "GET", "/control/store"));
        return boost::json::parse(text).at("bytes_to_target").to_number<std::int64_t>();
    }

    SystemClock clock;
    MetricsRegistry metrics;
    tests::IoThreads platformIo{2};
    tests::IoThreads io{1};
    standins::FaultProxy proxy;
    std::uint16_t platformPort = 0;
    std::uint16_t proxyPort = 0;
    std::shared_ptr<ObjectStore> store;
};

class Phase
{
public:
    Phase(Setup &setup, const ThreadTime &time, const char *name, double items)
        : m_setup(setup)
        , m_time(time)
        , m_name(name)
        , m_items(items)
        , m_calls(read())
        , m_bytes(setup.bytesSent())
        , m_seconds(time.seconds())
    { }

    ~Phase()
    {
        const double seconds = m_time.seconds() - m_seconds;
        const auto bytes = static_cast<double>(m_setup.bytesSent() - m_bytes);
        std::printf("%-8s %8.1f us/item", m_name, seconds * 1e6 / m_items);
        for (const auto &[kind, count] : read()) {
            const auto calls = static_cast<double>(count - m_calls[kind]);
            std::printf("  %s %.2f", kind.c_str(), calls * 1000 / m_items);
        }
        std::printf(" per 1,000 items  %.0f B/item sent to the store\n", bytes / m_items);
    }

    Phase(const Phase &) = delete;
    Phase &operator=(const Phase &) = delete;

private:
    std::map<std::string, std::uint64_t> read() const
    {
        std::map<std::string, std::uint64_t> counts;
        for (const char *kind : {"get", "list", "create", "update"})
            counts[kind] = m_setup.calls(kind);
        return counts;
    }

    Setup &m_setup;
    const ThreadTime &m_time;
    const char *m_name;
    double m_items;
    std::map<std::string, std::uint64_t> m_calls;
    std::int64_t m_bytes;
    double m_seconds;
};

std::string makeBody(int items)
{
    std::mt19937_64 random(1);
    std::string body;
    for (int item = 0; item < items; ++item) {
        const std::string words = tests::randomWords(random, TextBytes);
        body += tests::lineOf(tests::makeItem("order-" + std::to_string(item), words));
    }
    return body;
}

JobId submit(Setup &setup, const std::string &body)
{
    JobSubmitter submitter(setup.store, Shards, setup.clock);
    std::size_t at = 0;
    const auto next = [&]() -> boost::asio::awaitable<Result<std::string>> {
        std::string piece = body.substr(at, 64'000);
        at += piece.size();
        co_return piece;
    };
    JobRequest request{"acme", "k", setup.clock.wallNow() + std::chrono::hours{8}};
    const auto submitted = setup.io.run(submitter.submit(std::move(request), next));
    if (!isOk(submitted))
        orExit(errorOf(submitted));
    return valueOf(submitted).id;
}

JobCoordinatorSettings makeSettings(milliseconds itemTime, std::size_t inFlight)
{
    auto answers = std::make_shared<std::vector<std::string>>();
    std::mt19937_64 random(2);
    for (std::size_t answer = 0; answer < Answers; ++answer) {
        answers->push_back(R"({"choices":[{"message":{"role":"assistant","content":")"
                           + tests::randomWords(random, TextBytes)
                           + R"("}}],"usage":{"total_tokens":417}})");
    }
    JobCoordinatorSettings settings;
    settings.scheduler.owner = "measured#1";
    settings.scheduler.maxInFlight = inFlight;
    settings.shardCount = Shards;
    settings.ownsShard = [](std::uint32_t) -> std::optional<std::uint64_t> { return 1; };
    settings.isIdempotent = [](const std::string &) { return true; };
    settings.runItem =
            [answers, itemTime, next = std::make_shared<std::size_t>(0)](
                    BatchItem, std::string,
                    std::shared_ptr<ItemCancellation>) -> boost::asio::awaitable<ItemOutcome> {
        const std::string &answer = (*answers)[(*next)++ % answers->size()];
        if (itemTime.count() > 0) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, itemTime);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_return ItemAnswer{200, answer};
    };
    return settings;
}

void runJob(Setup &setup, const JobCoordinatorSettings &settings)
{
    JobCoordinator coordinator(setup.io.executor(), setup.store, setup.clock, setup.metrics,
                               settings);
    coordinator.start();
    while (setup.metrics.counter("batch_jobs_ended_total").value() == 0)
        std::this_thread::sleep_for(milliseconds{20});
    boost::asio::co_spawn(setup.io.executor(), coordinator.stop(milliseconds{0}),
                          boost::asio::use_future)
            .get();
}

void readResults(Setup &setup, const JobId &id)
{
    JobReader reader(setup.store);
    auto opened = setup.io.run(reader.results("acme", id));
    const auto stream = valueOf(std::move(opened));
    std::size_t bytes = 0;
    for (;;) {
        const std::string piece = orExit(setup.io.run(stream->next()));
        if (piece.empty())
            break;
        bytes += piece.size();
    }
    std::printf("         %zu bytes of results\n", bytes);
}

// The sizes are those of base64, as the store counts them.
void printStored(Setup &setup, double items)
{
    std::map<std::string, double> sizes;
    const auto text = orExit(standins::callControl(setup.platformPort, "GET", "/control/objects"));
    const boost::json::value objects = boost::json::parse(text);
    for (const auto &object : objects.as_array()) {
        const std::string name = object.at("name").as_string().c_str();
        sizes[name.substr(0, name.find('-'))] += object.at("size").to_number<double>();
    }
    for (const auto &[kind, size] : sizes)
        std::printf("stored   %s %.1f B/item\n", kind.c_str(), size / items);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: batchcost ITEMS ITEM_MS IN_FLIGHT\n");
        return 2;
    }
    const int items = std::atoi(argv[1]);
    const milliseconds itemTime{std::atoi(argv[2])};
    const auto inFlight = static_cast<std::size_t>(std::atoi(argv[3]));
    Setup setup;
    const ThreadTime time(setup.io);
    const std::string body = makeBody(items);
    JobId id = JobId::fromHash({});
    {
        const Phase phase(setup, time, "submit", items);
        id = submit(setup, body);
    }
    {
        const JobCoordinatorSettings settings = makeSettings(itemTime, inFlight);
        const Phase phase(setup, time, "run", items);
        runJob(setup, settings);
    }
    {
        const Phase phase(setup, time, "results", items);
        readResults(setup, id);
    }
    printStored(setup, items);
    return 0;
}
