#include "cli/loadscenario.h"

#include "cli/keyfile.h"
#include "cli/loadlimits.h"
#include "settings/sectionreader.h"
#include "settings/tomlfile.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace pistachiofall {

namespace {

using detail::SectionReader;
using detail::SettingsErrors;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, 3> Sections{"run", "flow", "batch"};

void readRun(const toml::table &document, LoadOptions &options, SettingsErrors &errors)
{
    SectionReader reader(document, "run", errors);
    reader.integer("seed", 0, INT64_MAX, options.seed);
    reader.milliseconds("duration_ms", 1, MaxLoadDurationMs, options.duration);
    reader.milliseconds("timeout_ms", 1, MaxLoadDurationMs, options.timeout);
    reader.milliseconds("objective_ms", 1, MaxLoadDurationMs, options.objective);
    reader.integer("max_connections", 1, MaxLoadConnections, options.maxConnections);
    options.addresses = reader.requiredAddresses("addresses", 1);
    reader.rejectUnknownKeys();
}

// Returns the value of key, or the key in the file that key_file names.
std::string readKey(SectionReader &reader)
{
    std::optional<std::string> key;
    std::optional<std::string> file;
    reader.text("key", key);
    reader.text("key_file", file);
    if (key.has_value() == file.has_value()) {
        reader.addError("key", "one of key and key_file is needed, and not both");
        return {};
    }
    if (key)
        return *key;
    auto read = readKeyFile(*file);
    if (isOk(read))
        return valueOf(std::move(read));
    reader.addError("key_file", errorOf(read).message);
    return {};
}

LoadBurst readBurst(SectionReader &reader)
{
    LoadBurst burst;
    milliseconds begin{0};
    milliseconds end{0};
    reader.number("burst_factor", 0.001, MaxBurstFactor, burst.factor);
    reader.milliseconds("burst_begin_ms", 0, MaxLoadDurationMs, begin);
    reader.milliseconds("burst_end_ms", 0, MaxLoadDurationMs, end);
    if (end < begin || (burst.factor != 1 && end == begin))
        reader.addError("burst_end_ms", "burst_end_ms is not after burst_begin_ms");
    burst.begin = begin;
    burst.end = end;
    return burst;
}

LoadFlow readFlow(const toml::table &table, SettingsErrors &errors)
{
    SectionReader reader(table, SectionReader::Label{"flow"}, errors);
    LoadFlow flow;
    flow.organisation = reader.requiredName("organisation");
    flow.key = readKey(reader);
    reader.number("rate", 0.001, MaxLoadRatePerSecond, flow.ratePerSecond);
    std::optional<std::string> model;
    std::optional<std::string> path;
    reader.text("model", model);
    reader.text("path", path);
    if (model.has_value() == path.has_value())
        reader.addError("model", "one of model and path is needed, and not both");
    if (path && path->front() != '/')
        reader.addError("path", "the path does not begin with '/'");
    flow.model = model.value_or("");
    flow.path = path.value_or("");
    reader.boolean("stream", flow.isStream);
    if (path && flow.isStream)
        reader.addError("stream", "the answers of a path are not streams");
    reader.integer("prompt_bytes", 0, MaxPromptBytes, flow.promptBytes);
    int maxTokens = LoadOptions().maxTokens;
    reader.integer("max_tokens", 1, MaxLoadTokens, maxTokens);
    flow.maxTokens = maxTokens;
    flow.burst = readBurst(reader);
    reader.rejectUnknownKeys();
    return flow;
}

LoadBatch readBatch(const toml::table &table, SettingsErrors &errors)
{
    SectionReader reader(table, SectionReader::Label{"batch"}, errors);
    LoadBatch batch;
    batch.organisation = reader.requiredName("organisation");
    batch.key = readKey(reader);
    batch.model = reader.requiredName("model");
    reader.integer("items", 1, MaxLoadItems, batch.items);
    std::int64_t dueIn = batch.dueIn.count();
    reader.integer("due_in_seconds", 1, MaxLoadDurationMs, dueIn);
    batch.dueIn = std::chrono::seconds{dueIn};
    reader.milliseconds("begin_ms", 0, MaxLoadDurationMs, batch.begin);
    reader.integer("prompt_bytes", 0, MaxPromptBytes, batch.promptBytes);
    reader.integer("max_tokens", 1, MaxLoadTokens, batch.maxTokens);
    reader.rejectUnknownKeys();
    return batch;
}

// Calls the function for each table of an array of tables.
template<typename Read>
void forEachTable(const toml::table &document, std::string_view name, SettingsErrors &errors,
                  Read read)
{
    const toml::node *node = document.get(name);
    if (node == nullptr)
        return;
    const toml::array *array = node->as_array();
    if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
        errors.add(detail::lineOf(*node),
                   std::string(name)
                           + " is not an array of tables; accepted: "
                             "[["
                           + std::string(name) + "]]");
        return;
    }
    for (const toml::node &element : *array)
        read(*element.as_table());
}

void checkSectionNames(const toml::table &document, SettingsErrors &errors)
{
    for (const auto &[key, value] : document) {
        if (std::find(Sections.begin(), Sections.end(), key.str()) == Sections.end())
            errors.add(std::max<std::size_t>(1, key.source().begin.line),
                       "unknown section '" + std::string(key.str())
                               + "'; accepted: run, flow, batch");
    }
}

void checkRequestCount(const LoadOptions &options, SettingsErrors &errors)
{
    double requests = 0;
    for (const LoadFlow &flow : options.flows) {
        requests += flow.ratePerSecond * std::max(1.0, flow.burst.factor)
                * std::chrono::duration<double>(options.duration).count();
    }
    if (requests > MaxLoadRequests)
        errors.add(1, "a run sends at most 10 million requests");
    if (options.flows.empty() && options.batches.empty())
        errors.add(1, "there is no flow and no batch; accepted: at least one");
}

Result<LoadOptions> readDocument(const toml::table &document, const std::string &file)
{
    SettingsErrors errors(file);
    checkSectionNames(document, errors);
    LoadOptions options;
    readRun(document, options, errors);
    forEachTable(document, "flow", errors, [&](const toml::table &table) {
        options.flows.push_back(readFlow(table, errors));
    });
    forEachTable(document, "batch", errors, [&](const toml::table &table) {
        options.batches.push_back(readBatch(table, errors));
    });
    checkRequestCount(options, errors);
    if (!errors.isEmpty())
        return errors.toError();
    return options;
}

} // namespace

Result<LoadOptions> loadScenario(const std::string &file)
{
    const auto text = detail::readTextFile("scenario", file);
    if (!isOk(text))
        return errorOf(text);
    return parseScenario(valueOf(text), file);
}

Result<LoadOptions> parseScenario(std::string_view text, const std::string &file)
{
    return detail::readToml(
            text, file, [&](const toml::table &document) { return readDocument(document, file); });
}

} // namespace pistachiofall
