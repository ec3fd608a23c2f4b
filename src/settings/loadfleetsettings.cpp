#include "settings/loadfleetsettings.h"

#include "base/systemmemory.h"
#include "settings/sectionreader.h"
#include "settings/settingserrors.h"
#include "settings/tomlfile.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pistachiofall {

namespace {

using detail::SectionReader;
using detail::SettingsErrors;

constexpr std::array<std::string_view, 5> Sections{"instance", "listen", "store", "fleet",
                                                   "rollouts"};
constexpr std::uint16_t MinPort = 1;
constexpr std::int64_t MinBoundMilliseconds = 100;
constexpr std::int64_t MaxMilliseconds = 600'000;
constexpr double MaxQuotaOver = 10;
constexpr double MaxQuotaSlack = 1'000'000;
// The object of a job must have room for one result and the description of the job.
constexpr std::int64_t MinObjectBytes = 4096;
constexpr std::int64_t MinMemoryMegabytes = 32;
constexpr std::int64_t MaxMemoryMegabytes = std::int64_t{1} << 24U;
constexpr unsigned MegabyteShift = 20;
constexpr std::int64_t MaxObjectBytes = std::int64_t{1} << 30U;

void checkSections(const toml::table &document, SettingsErrors &errors)
{
    for (const auto &[key, value] : document) {
        if (std::find(Sections.begin(), Sections.end(), key.str()) == Sections.end())
            errors.add(std::max<std::size_t>(1, key.source().begin.line),
                       "unknown section '" + std::string(key.str())
                               + "'; accepted: instance, listen, store, fleet, rollouts");
    }
}

std::vector<SocketAddress> readSeeds(const toml::table &document, SettingsErrors &errors)
{
    std::vector<SocketAddress> seeds;
    const toml::array *values = document["fleet"]["seeds"].as_array();
    if (values == nullptr)
        return seeds;
    for (const toml::node &value : *values) {
        const auto address = SocketAddress::parse(value.value_or(std::string()));
        if (isOk(address))
            seeds.push_back(valueOf(address));
        else
            errors.add(detail::lineOf(value), "fleet.seeds: " + errorOf(address).message);
    }
    return seeds;
}

std::optional<RolloutBounds> readRollouts(const toml::table &document, SettingsErrors &errors)
{
    if (!document.contains("rollouts"))
        return std::nullopt;
    RolloutBounds bounds;
    SectionReader reader(document, "rollouts", errors);
    reader.share("max_exposure", bounds.maxExposure);
    reader.duration("rollback", MinBoundMilliseconds, MaxMilliseconds, bounds.rollbackTime);
    reader.rejectUnknownKeys();
    return bounds;
}

Result<FleetSettings> readDocument(const toml::table &document, const std::string &file)
{
    SettingsErrors errors(file);
    checkSections(document, errors);
    SectionReader instance(document, "instance", errors);
    std::string name = instance.requiredName("name");
    std::string failureDomain = instance.requiredName("failure_domain");
    std::size_t memoryMegabytes =
            std::min(systemMemoryBytes(), FleetSettings::DefaultMemoryBytes) >> MegabyteShift;
    instance.integer("memory_mb", MinMemoryMegabytes, MaxMemoryMegabytes, memoryMegabytes);
    instance.rejectUnknownKeys();
    SectionReader listen(document, "listen", errors);
    const auto callers = listen.address("callers", MinPort);
    const auto ready = listen.address("ready", MinPort);
    const auto metrics = listen.address("metrics", MinPort);
    const auto peers = listen.requiredAddress("peers", MinPort);
    listen.rejectUnknownKeys();
    SectionReader storeReader(document, "store", errors);
    StoreSettings store;
    const auto storeAddress = storeReader.requiredAddress("address", MinPort);
    storeReader.milliseconds("call_timeout_ms", 10, MaxMilliseconds, store.callTimeout);
    std::size_t maxObjectBytes = FleetSettings::DefaultMaxObjectBytes;
    storeReader.integer("max_object_bytes", MinObjectBytes, MaxObjectBytes, maxObjectBytes);
    storeReader.rejectUnknownKeys();
    if (!errors.isEmpty() || !peers || !storeAddress)
        return errors.toError();
    store.address = storeAddress->toString();
    FleetSettings settings{
            std::move(name), std::move(failureDomain), callers, ready, metrics, *peers, {}, store};
    settings.memoryBytes = memoryMegabytes << MegabyteShift;
    settings.maxObjectBytes = maxObjectBytes;
    settings.seeds = readSeeds(document, errors);
    settings.rollouts = readRollouts(document, errors);
    SectionReader fleet(document, "fleet", errors);
    fleet.accept("seeds");
    fleet.duration("quota_window", MinBoundMilliseconds, MaxMilliseconds, settings.quotaWindow);
    fleet.number("quota_over", 0, MaxQuotaOver, settings.quotaOver);
    fleet.number("quota_slack", 0, MaxQuotaSlack, settings.quotaSlack);
    fleet.duration("stop_grace", MinBoundMilliseconds, MaxMilliseconds, settings.stopGrace);
    fleet.duration("change_bound", MinBoundMilliseconds, MaxMilliseconds, settings.changeBound);
    fleet.duration("cancel_bound", MinBoundMilliseconds, MaxMilliseconds, settings.cancelBound);
    fleet.duration("finish_bound", MinBoundMilliseconds, MaxMilliseconds, settings.finishBound);
    fleet.duration("lapsed_entry_grace", 0, MaxMilliseconds, settings.lapsedEntryGrace);
    fleet.boolean("room_for_peaks", settings.leavesRoomForPeaks);
    fleet.boolean("learn_speeds", settings.learnsSpeeds);
    fleet.boolean("share_failures", settings.sharesFailures);
    fleet.boolean("summarise_usage", settings.summarisesUsage);
    fleet.boolean("fair_shares", settings.sharesRoomFairly);
    fleet.rejectUnknownKeys();
    if (!errors.isEmpty())
        return errors.toError();
    return settings;
}

} // namespace

Result<FleetSettings> loadFleetSettings(const std::string &file)
{
    const auto text = detail::readTextFile("settings file", file);
    if (!isOk(text))
        return errorOf(text);
    return parseFleetSettings(valueOf(text), file);
}

Result<FleetSettings> parseFleetSettings(std::string_view text, const std::string &file)
{
    return detail::readToml(
            text, file, [&](const toml::table &document) { return readDocument(document, file); });
}

} // namespace pistachiofall
