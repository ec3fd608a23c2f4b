#include "batch/progresscodec.h"
#include "batch/resultscodec.h"
#include "batch/segmentrun.h"

#include "batch/samples.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

// The first half of the items is idempotent, the second half is not.
constexpr std::uint32_t ItemCount = 6;

bool isIdempotent(std::uint32_t item)
{
    return item < ItemCount / 2;
}

// Model of the store with one progress object and the same version checks as the real store.
// Asserts after each write that results are only added, never changed or removed.
class FakeStore
{
public:
    std::optional<Progress> read() const
    {
        if (!m_object)
            return std::nullopt;
        auto decoded = decodeProgress(m_job, 0, *m_object);
        RC_ASSERT(isOk(decoded));
        return valueOf(std::move(decoded));
    }

    std::string version() const { return m_object ? std::to_string(m_version) : std::string(); }

    ErrorCode apply(const StoreAction &action)
    {
        if (const auto *create = std::get_if<CreateProgress>(&action)) {
            if (m_object)
                return ErrorCode::AlreadyExists;
            write(create->progress);
        } else {
            const auto &update = std::get<UpdateProgress>(action);
            if (update.version != version())
                return ErrorCode::Conflict;
            write(update.progress);
        }
        return ErrorCode::Internal;
    }

    ResultPart storePart(const ResultMap &results)
    {
        const EncodedPart encoded = encodePart(results);
        m_parts[encoded.part.chunks.front()] = encoded.chunks.front();
        return encoded.part;
    }

    std::map<std::uint32_t, ItemResult> results() const
    {
        std::map<std::uint32_t, ItemResult> all;
        const auto progress = read();
        for (const auto &[item, result] : progress->results)
            all.emplace(item, *result);
        for (const ResultPart &part : progress->parts) {
            const auto decoded = decodePart(m_parts.at(part.chunks.front()), ItemCount);
            for (const auto &[item, result] : valueOf(decoded))
                RC_ASSERT(all.emplace(item, *result).second);
        }
        return all;
    }

private:
    void write(const Progress &progress)
    {
        m_object = encodeProgress(m_job, 0, progress);
        ++m_version;
        const auto now = results();
        for (const auto &[item, result] : m_seen)
            RC_ASSERT(now.contains(item) && now.at(item) == result);
        m_seen = now;
    }

    const JobId m_job = JobId::of("acme", "k1");
    std::optional<StoredObject> m_object;
    int m_version = 0;
    std::map<ContentHash, std::string> m_parts;
    std::map<std::uint32_t, ItemResult> m_seen;
};

// An instance with its run of the segment. A crash replaces the run and discards all state in
// memory.
struct Coordinator
{
    std::optional<SegmentRun> run;
    std::optional<StoreAction> call;
    std::set<std::uint32_t> running;
};

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
        restart(m_coordinators[0]);
        restart(m_coordinators[1]);
    }

    void step()
    {
        Coordinator &coordinator = m_coordinators[randomBelow(2)];
        switch (randomBelow(16)) {
        case 0:
        case 1:
        case 2:
            beginCall(coordinator);
            break;
        case 3:
        case 4:
        case 5:
            answerCall(coordinator);
            break;
        case 6:
            failCall(coordinator);
            break;
        case 7:
        case 8:
            coordinator.run->mark(2, m_now);
            start(coordinator);
            break;
        case 9:
        case 10:
        case 11:
            finish(coordinator, randomBelow(8));
            break;
        case 12:
            m_now += std::chrono::milliseconds{randomBelow(6000)};
            break;
        case 13:
            applyLateWrite();
            break;
        case 14:
            if (randomBelow(4) == 0)
                coordinator.run->release();
            if (coordinator.run->isStopping())
                coordinator.run->abandonItems();
            break;
        default:
            if (coordinator.run->phase() == SegmentRun::Phase::Ended || randomBelow(8) == 0)
                restart(coordinator);
            break;
        }
    }

    // Lets a last coordinator finish the segment without faults, while late writes still take
    // effect.
    void drain()
    {
        Coordinator &last = m_coordinators[0];
        restart(last);
        for (int round = 0; round < 200 && last.run->phase() != SegmentRun::Phase::Ended; ++round) {
            m_now += 1s;
            applyLateWrite();
            beginCall(last);
            answerCall(last);
            last.run->mark(2, m_now);
            start(last);
            finish(last, 0);
        }
        RC_ASSERT(last.run->phase() == SegmentRun::Phase::Ended);
        RC_ASSERT(last.run->end() == SegmentRun::End::Finished);
        while (!m_lateWrites.empty())
            applyLateWrite();
    }

    void check() const
    {
        const auto progress = m_store.read();
        RC_ASSERT(progress && progress->isClosed);
        RC_ASSERT(progress->started.empty());
        RC_ASSERT(m_store.results().size() == ItemCount);
        for (const auto &[item, starts] : m_startCount)
            RC_ASSERT(isIdempotent(item) || starts <= 1);
    }

private:
    std::size_t randomBelow(std::size_t bound) { return m_random() % bound; }

    void restart(Coordinator &coordinator)
    {
        if (coordinator.call && !std::holds_alternative<ReadProgress>(*coordinator.call)
            && randomBelow(2) == 0)
            m_lateWrites.push_back(*coordinator.call);
        coordinator = Coordinator{};
        const std::uint64_t epoch = ++m_epoch;
        coordinator.run.emplace(SegmentClaim{"i#" + std::to_string(epoch), epoch}, ItemCount, false,
                                SegmentRunSettings{}, m_random());
        std::vector<bool> idempotent;
        for (std::uint32_t item = 0; item < ItemCount; ++item)
            idempotent.push_back(isIdempotent(item));
        coordinator.run->onLoaded(idempotent);
    }

    void beginCall(Coordinator &coordinator)
    {
        if (!coordinator.call)
            coordinator.call = coordinator.run->nextStoreAction(m_now);
    }

    void answerCall(Coordinator &coordinator)
    {
        const auto call = std::exchange(coordinator.call, std::nullopt);
        if (!call)
            return;
        if (std::holds_alternative<ReadProgress>(*call)) {
            coordinator.run->onRead(m_store.read(), m_store.version());
            return;
        }
        const auto *update = std::get_if<UpdateProgress>(&*call);
        if (update != nullptr && !update->progress.results.empty() && randomBelow(8) == 0) {
            coordinator.run->onPartStored(m_store.storePart(update->progress.results));
            return;
        }
        const ErrorCode code = m_store.apply(*call);
        if (code == ErrorCode::Internal)
            coordinator.run->onWritten(m_store.version(), m_now);
        else
            coordinator.run->onWriteFailed(code, m_now);
    }

    // Fails the call in flight. A write may have taken effect, may take effect later, or never
    // does.
    void failCall(Coordinator &coordinator)
    {
        const auto call = std::exchange(coordinator.call, std::nullopt);
        if (!call)
            return;
        if (std::holds_alternative<ReadProgress>(*call)) {
            coordinator.run->onReadFailed(m_now);
            return;
        }
        const std::size_t kind = randomBelow(3);
        if (kind == 0)
            m_store.apply(*call);
        else if (kind == 1)
            m_lateWrites.push_back(*call);
        const bool isCertain = kind == 2 && randomBelow(2) == 0;
        coordinator.run->onWriteFailed(
                isCertain ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown, m_now);
    }

    void applyLateWrite()
    {
        if (m_lateWrites.empty())
            return;
        const std::size_t at = randomBelow(m_lateWrites.size());
        m_store.apply(m_lateWrites[at]);
        m_lateWrites.erase(m_lateWrites.begin() + static_cast<std::ptrdiff_t>(at));
    }

    void start(Coordinator &coordinator)
    {
        const auto item = coordinator.run->startNext(m_now);
        if (!item)
            return;
        coordinator.running.insert(*item);
        ++m_startCount[*item];
    }

    void finish(Coordinator &coordinator, std::size_t kind)
    {
        if (coordinator.running.empty())
            return;
        const std::uint32_t item = *coordinator.running.begin();
        coordinator.running.erase(coordinator.running.begin());
        coordinator.run->onOutcome(item, outcome(item, kind), m_now);
    }

    ItemOutcome outcome(std::uint32_t item, std::size_t kind)
    {
        switch (kind) {
        case 0:
            return ItemAnswer{200, "{\"answer\":" + std::to_string(++m_answers) + "}"};
        case 1:
            return ItemRetryable{503, "unavailable", std::to_string(++m_answers)};
        case 2:
            return ItemFailed{400, "bad", std::to_string(++m_answers)};
        case 3:
            return ItemRevoked{};
        case 4:
            return ItemOutcomeUnknown{std::to_string(++m_answers)};
        default:
            // Nothing was sent, so this does not count as a start.
            --m_startCount[item];
            return ItemNotRun{};
        }
    }

    std::mt19937_64 m_random;
    SegmentRun::TimePoint m_now{1h};
    FakeStore m_store;
    std::array<Coordinator, 2> m_coordinators;
    std::vector<StoreAction> m_lateWrites;
    std::map<std::uint32_t, int> m_startCount;
    std::uint64_t m_epoch = 0;
    int m_answers = 0;
};

} // namespace

TEST_GROUP(TakeoverProperty){};

// Guards against a lost, changed or duplicate result, and against a second start of a
// non-idempotent item, under any order of two coordinators' steps, crashes, lost responses and late
// writes. RapidCheck prints its seed, and the schedule's seed when a schedule fails.
TEST(TakeoverProperty, EveryItemEndsOnceAndResultsNeverChange)
{
    constexpr std::uint64_t SchedulesPerCase = 200;
    const bool holds = rc::check("takeover", [] {
        const auto first = *rc::gen::noShrink(
                rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        for (std::uint64_t seed = first; seed < first + SchedulesPerCase; ++seed) {
            RC_LOG() << "schedule seed " << seed << '\n';
            Schedule schedule(seed);
            const int steps = 50 + static_cast<int>(seed % 350);
            for (int step = 0; step < steps; ++step)
                schedule.step();
            schedule.drain();
            schedule.check();
        }
    });
    CHECK(holds);
}
