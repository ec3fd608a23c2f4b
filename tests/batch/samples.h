#pragma once

#include "batch/batchitem.h"
#include "batch/job.h"
#include "batch/progress.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pistachiofall::tests {

/// Returns text of random words, which compresses about as well as real requests and answers of
/// models.
inline std::string randomWords(std::mt19937_64 &random, std::size_t size)
{
    static const std::vector<std::string> vocabulary = [] {
        std::mt19937_64 letters(1);
        std::vector<std::string> words(4000);
        for (std::string &word : words) {
            for (std::uint64_t length = 2 + letters() % 9; length > 0; --length)
                word += static_cast<char>('a' + letters() % 26);
        }
        return words;
    }();
    std::string text;
    while (text.size() < size)
        text += vocabulary[random() % vocabulary.size()] + ' ';
    text.resize(size);
    return text;
}

inline BatchItem makeItem(const std::string &id, const std::string &content = "hello",
                          const std::string &path = std::string(DefaultItemPath))
{
    return {id, path,
            R"({"model":"tour","messages":[{"role":"user","content":")" + content + "\"}]}"};
}

inline std::string lineOf(const BatchItem &item)
{
    return R"({"custom_id":")" + item.customId + R"(","path":")" + item.path + R"(","body":)"
            + item.body + "}\n";
}

inline std::shared_ptr<const ItemResult> makeAnswer(const std::string &text)
{
    return std::make_shared<const ItemResult>(ItemResult{200, ResultBody{text, true}});
}

inline Job makeJob(const std::string &organisation, const std::string &key,
                   const std::vector<std::uint32_t> &segmentItems)
{
    using std::chrono::milliseconds;
    Job job;
    job.id = JobId::of(organisation, key);
    job.organisation = organisation;
    job.idempotencyKey = key;
    job.due = std::chrono::system_clock::time_point{milliseconds{1'700'000'100'000}};
    job.created = std::chrono::system_clock::time_point{milliseconds{1'700'000'000'000}};
    for (const std::uint32_t items : segmentItems) {
        ContentHash hash;
        hash.bytes[0] = static_cast<std::uint8_t>(job.segments.size());
        job.segments.push_back({hash, items, std::nullopt});
    }
    return job;
}

} // namespace pistachiofall::tests
