#include "settings/loadsettings.h"

#include "settings/sectionreader.h"
#include "settings/settingserrors.h"
#include "settings/tomlfile.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace pistachiofall {

namespace {

using detail::SectionReader;
using detail::SettingsErrors;

constexpr std::array<std::string_view, 12> Sections{"instance",  "listen", "store",      "data",
                                                    "deadlines", "limits", "objectives", "threads",
                                                    "sharding",  "policy", "batch",      "rollout"};
constexpr std::array<std::pair<std::string_view, SelectionKind>, 3> SelectionKinds{
        {{"power_of_two", SelectionKind::PowerOfTwo},
         {"round_robin", SelectionKind::RoundRobin},
         {"prefix_affinity", SelectionKind::PrefixAffinity}}};
constexpr std::array<std::pair<std::string_view, LimitKind>, 2> LimitKinds{
        {{"holders", LimitKind::Holders}, {"local", LimitKind::Local}}};
constexpr std::array<std::pair<std::string_view, BatchPriority>, 2> BatchPriorities{
        {{"online_first", BatchPriority::OnlineFirst}, {"none", BatchPriority::None}}};
constexpr std::array<std::pair<std::string_view, BatchReserveKind>, 2> BatchReserves{
        {{"arrivals", BatchReserveKind::Arrivals}, {"quarter", BatchReserveKind::Quarter}}};
// A longer time is most likely a mistake in the unit (1 h).
constexpr std::int64_t MaxMilliseconds = 3'600'000;
constexpr std::int64_t MaxRetentionHours = 10 * 365 * 24;

InstanceSettings readInstance(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "instance", errors);
    InstanceSettings settings;
    settings.name = reader.requiredName("name");
    settings.failureDomain = reader.requiredName("failure_domain");
    settings.region = reader.requiredName("region");
    reader.rejectUnknownKeys();
    return settings;
}

std::optional<ListenSettings> readListen(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "listen", errors);
    const auto callers = reader.requiredAddress("callers", 0);
    const auto admin = reader.requiredAddress("admin", 0);
    const auto peers = reader.requiredAddress("peers", 0);
    auto advertised = reader.address("peers_advertised", 1);
    reader.rejectUnknownKeys();
    const auto isSame = [](const auto &a, const auto &b) {
        return a && b && *a == *b && a->port() != 0;
    };
    if (isSame(callers, admin))
        reader.addError(
                "admin",
                "[listen] admin is the same address as callers; accepted: a different address");
    if (isSame(callers, peers) || isSame(admin, peers))
        reader.addError("peers",
                        "[listen] peers is the address of another listener; accepted: "
                        "a different address");
    if (!callers || !admin || !peers)
        return std::nullopt;
    return ListenSettings{*callers, *admin, *peers, std::move(advertised)};
}

StoreSettings readStore(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "store", errors);
    StoreSettings settings;
    if (const auto address = reader.requiredAddress("address", 1))
        settings.address = address->toString();
    reader.name("namespace", settings.nameSpace);
    reader.milliseconds("call_timeout_ms", 10, MaxMilliseconds, settings.callTimeout);
    reader.rejectUnknownKeys();
    return settings;
}

DataSettings readData(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "data", errors);
    DataSettings settings;
    reader.text("folder", settings.folder);
    reader.rejectUnknownKeys();
    return settings;
}

DeadlineSettings readDeadlines(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "deadlines", errors);
    DeadlineSettings settings;
    reader.milliseconds("connect_ms", 1, MaxMilliseconds, settings.connect);
    reader.milliseconds("first_byte_ms", 1, MaxMilliseconds, settings.firstByte);
    reader.milliseconds("chunk_gap_ms", 1, MaxMilliseconds, settings.chunkGap);
    reader.milliseconds("slot_wait_ms", 0, MaxMilliseconds, settings.slotWait);
    reader.milliseconds("drain_ms", 0, MaxMilliseconds, settings.drain);
    reader.milliseconds("ready_delay_ms", 0, MaxMilliseconds, settings.readyDelay);
    reader.rejectUnknownKeys();
    return settings;
}

LimitSettings readLimits(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "limits", errors);
    LimitSettings settings;
    reader.integer("max_body_bytes", 1, std::int64_t{1} << 40U, settings.maxBodyBytes);
    reader.integer("max_header_bytes", 1024, 1 << 20U, settings.maxHeaderBytes);
    reader.integer("max_connections", 1, 1'000'000, settings.maxConnections);
    reader.integer("max_batch_items", 1, 10'000'000, settings.maxBatchItems);
    reader.rejectUnknownKeys();
    return settings;
}

ObjectiveSettings readObjectives(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "objectives", errors);
    ObjectiveSettings settings;
    reader.milliseconds("first_token_ms", 1, MaxMilliseconds, settings.firstToken);
    reader.milliseconds("token_gap_ms", 1, MaxMilliseconds, settings.tokenGap);
    reader.fraction("availability", settings.availability);
    reader.fraction("batch_on_time", settings.batchOnTime);
    reader.rejectUnknownKeys();
    return settings;
}

ThreadSettings readThreads(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "threads", errors);
    ThreadSettings settings;
    reader.integer("count", 1, 256, settings.count);
    reader.rejectUnknownKeys();
    return settings;
}

ShardingSettings readSharding(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "sharding", errors);
    ShardingSettings settings;
    reader.integer("shards", 1, 65'536, settings.shards);
    reader.rejectUnknownKeys();
    return settings;
}

PolicySettings readPolicy(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "policy", errors);
    PolicySettings settings;
    reader.choice("selection", SelectionKinds, settings.selection);
    reader.choice("limits", LimitKinds, settings.limits);
    reader.choice("batch_priority", BatchPriorities, settings.batchPriority);
    reader.choice("batch_reserve", BatchReserves, settings.batchReserve);
    reader.rejectUnknownKeys();
    return settings;
}

BatchSettings readBatch(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "batch", errors);
    BatchSettings settings;
    auto hours = settings.retention.count();
    reader.integer("retention_hours", 1, MaxRetentionHours, hours);
    settings.retention = std::chrono::hours{hours};
    reader.rejectUnknownKeys();
    return settings;
}

RolloutSettings readRollout(const toml::table &document, SettingsErrors &errors)
{
    SectionReader reader(document, "rollout", errors);
    RolloutSettings settings;
    reader.fraction("min_in_service", settings.minInService);
    reader.integer("max_loads", 1, 100'000, settings.maxLoads);
    reader.rejectUnknownKeys();
    return settings;
}

void checkSectionNames(const toml::table &document, SettingsErrors &errors)
{
    std::string accepted;
    for (const std::string_view section : Sections)
        accepted += (accepted.empty() ? "" : ", ") + std::string(section);
    for (const auto &[key, value] : document) {
        if (std::find(Sections.begin(), Sections.end(), key.str()) == Sections.end())
            errors.add(std::max<std::size_t>(1, key.source().begin.line),
                       "unknown section '" + std::string(key.str()) + "'; accepted: " + accepted);
    }
}

Result<Settings> readDocument(const toml::table &document, const std::string &file)
{
    SettingsErrors errors(file);
    checkSectionNames(document, errors);
    auto instance = readInstance(document, errors);
    const auto listen = readListen(document, errors);
    auto store = readStore(document, errors);
    auto data = readData(document, errors);
    const auto deadlines = readDeadlines(document, errors);
    const auto limits = readLimits(document, errors);
    const auto objectives = readObjectives(document, errors);
    const auto threads = readThreads(document, errors);
    const auto sharding = readSharding(document, errors);
    const auto policy = readPolicy(document, errors);
    const auto batch = readBatch(document, errors);
    const auto rollout = readRollout(document, errors);
    if (!errors.isEmpty() || !listen)
        return errors.toError();
    return Settings{
            std::move(instance), *listen, std::move(store), std::move(data), deadlines, limits,
            objectives,          threads, sharding,         policy,          batch,     rollout};
}

} // namespace

Result<Settings> loadSettings(const std::string &file)
{
    const auto text = detail::readTextFile("settings file", file);
    if (!isOk(text))
        return errorOf(text);
    return parseSettings(valueOf(text), file);
}

Result<Settings> parseSettings(std::string_view text, const std::string &file)
{
    return detail::readToml(
            text, file, [&](const toml::table &document) { return readDocument(document, file); });
}

} // namespace pistachiofall
