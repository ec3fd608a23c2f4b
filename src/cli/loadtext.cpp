#include "cli/loadtext.h"

#include "cli/texttable.h"

#include <iomanip>
#include <sstream>

#include <boost/json.hpp>

namespace pistachiofall {

namespace json = boost::json;
using Milliseconds = std::chrono::duration<double, std::milli>;

namespace {

constexpr std::array<const char *, LoadQuantiles.size()> QuantileNames{"p50", "p95", "p99", "p999"};

// Returns the quantiles in milliseconds, in the order of LoadQuantiles; empty without samples.
std::vector<double> quantilesOf(const std::vector<std::chrono::nanoseconds> &values)
{
    std::vector<double> quantiles;
    for (const double quantile : LoadQuantiles) {
        if (!values.empty())
            quantiles.push_back(Milliseconds(nearestRankQuantile(values, quantile)).count());
    }
    return quantiles;
}

std::vector<double> quantilesOf(const Histogram &values)
{
    std::vector<double> quantiles;
    for (const double quantile : LoadQuantiles) {
        if (values.count() > 0)
            quantiles.push_back(Milliseconds(values.quantile(quantile)).count());
    }
    return quantiles;
}

std::string quantilesText(const std::vector<double> &quantiles)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1);
    for (const double quantile : quantiles)
        text << (text.tellp() > 0 ? " / " : "") << quantile;
    return text.str();
}

json::object quantilesJson(const std::vector<double> &quantiles)
{
    json::object object;
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        object[QuantileNames.at(i)] = quantiles[i];
    return object;
}

std::string countsText(const LoadResult &result)
{
    std::string text;
    for (const auto &[outcome, count] : result.counts) {
        text += text.empty() ? "" : " ";
        text += outcome + "=" + std::to_string(count);
    }
    return text;
}

const std::string &targetOf(const LoadFlow &flow)
{
    return flow.path.empty() ? flow.model : flow.path;
}

json::array secondsJson(const std::vector<LoadSecond> &seconds)
{
    json::array lines;
    for (const LoadSecond &second : seconds) {
        lines.push_back(
                json::array{second.sent, second.answered, second.withinObjective, second.limited});
    }
    return lines;
}

std::uint64_t answeredCount(const LoadResult &result)
{
    const auto found = result.counts.find("200");
    return found == result.counts.end() ? 0 : found->second;
}

// Combines the first tokens of all flows, as one flow has too few samples for the high quantiles.
json::object streamsJson(const std::vector<LoadResult> &results)
{
    std::vector<std::chrono::nanoseconds> all;
    for (const LoadResult &result : results)
        all.insert(all.end(), result.firstTokens.begin(), result.firstTokens.end());
    return {{"streams", all.size()}, {"firstTokenMs", quantilesJson(quantilesOf(all))}};
}

json::object batchJson(const LoadBatch &batch, const LoadBatchResult &result)
{
    json::object line{{"organisation", batch.organisation},
                      {"model", batch.model},
                      {"total", result.total},
                      {"done", result.done},
                      {"failed", result.failed},
                      {"doneWhenDue", result.doneWhenDue}};
    if (!result.error.empty())
        line["error"] = result.error;
    if (result.timeToEnd)
        line["endedMs"] = result.timeToEnd->count();
    return line;
}

} // namespace

std::string formatBatchTable(const std::vector<LoadBatch> &batches,
                             const std::vector<LoadBatchResult> &results)
{
    if (results.empty())
        return "";
    std::vector<std::vector<std::string>> rows{{"BATCH", "ORGANISATION", "MODEL", "ITEMS", "DONE",
                                                "FAILED", "DONE WHEN DUE", "ENDED MS"}};
    for (std::size_t i = 0; i < results.size(); ++i) {
        const LoadBatchResult &result = results[i];
        rows.push_back(
                {std::to_string(i + 1), batches[i].organisation, batches[i].model,
                 std::to_string(batches[i].items), std::to_string(result.done),
                 std::to_string(result.failed), std::to_string(result.doneWhenDue),
                 result.timeToEnd ? std::to_string(result.timeToEnd->count()) : result.error});
    }
    return formatTable(rows);
}

std::string formatLoadTable(const std::vector<LoadFlow> &flows,
                            const std::vector<LoadResult> &results)
{
    std::vector<std::vector<std::string>> rows{{"FLOW", "ORGANISATION", "TARGET", "SENT", "WITHIN",
                                                "COUNTS", "LATENCY MS p50 / p95 / p99 / p99.9",
                                                "FIRST TOKEN MS", "GAP MS"}};
    for (std::size_t i = 0; i < results.size(); ++i) {
        rows.push_back({std::to_string(i + 1), flows[i].organisation, targetOf(flows[i]),
                        std::to_string(requestCount(results[i])),
                        std::to_string(results[i].withinObjective), countsText(results[i]),
                        quantilesText(quantilesOf(results[i].latencies)),
                        quantilesText(quantilesOf(results[i].firstTokens)),
                        quantilesText(quantilesOf(*results[i].gaps))});
    }
    return formatTable(rows);
}

std::string formatLoadJson(const std::vector<LoadFlow> &flows,
                           const std::vector<LoadResult> &results,
                           const std::vector<LoadBatch> &batches,
                           const std::vector<LoadBatchResult> &batchResults)
{
    json::array lines;
    for (std::size_t i = 0; i < results.size(); ++i) {
        json::object counts;
        for (const auto &[outcome, count] : results[i].counts)
            counts[outcome] = count;
        lines.push_back(
                json::object{{"flow", i + 1},
                             {"organisation", flows[i].organisation},
                             {"model", flows[i].model},
                             {"path", flows[i].path},
                             {"ratePerSecond", flows[i].ratePerSecond},
                             {"sent", requestCount(results[i])},
                             {"answered", answeredCount(results[i])},
                             {"withinObjective", results[i].withinObjective},
                             {"counts", std::move(counts)},
                             {"latencyMs", quantilesJson(quantilesOf(results[i].latencies))},
                             {"firstTokenMs", quantilesJson(quantilesOf(results[i].firstTokens))},
                             {"gapMs", quantilesJson(quantilesOf(*results[i].gaps))},
                             {"seconds", secondsJson(results[i].seconds)}});
    }
    lines.push_back(streamsJson(results));
    for (std::size_t i = 0; i < batchResults.size(); ++i) {
        json::object line = batchJson(batches[i], batchResults[i]);
        line["batch"] = i + 1;
        lines.push_back(std::move(line));
    }
    return json::serialize(lines) + "\n";
}

} // namespace pistachiofall
