#include "batch/resultstream.h"

#include "batch/progresscodec.h"
#include "batch/resultscodec.h"
#include "batch/segmentcodec.h"
#include "batch/storecalls.h"

#include <set>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using batch::detail::getObject;

ResultStream::ResultStream(std::shared_ptr<ObjectStore> store, Job job)
    : m_store(std::move(store))
    , m_job(std::move(job))
{ }

asio::awaitable<Result<std::string>> ResultStream::next()
{
    while (m_index < m_job.segments.size()) {
        if (!m_segment) {
            const auto loaded = co_await loadSegment();
            if (!isOk(loaded))
                co_return errorOf(loaded);
        }
        auto lines = co_await nextSegmentLines();
        if (!isOk(lines) || !valueOf(lines).empty())
            co_return lines;
        m_segment.reset();
        ++m_index;
    }
    co_return std::string();
}

asio::awaitable<Result<Done>> ResultStream::loadSegment()
{
    const JobSegment &entry = m_job.segments[m_index];
    const auto index = static_cast<std::uint32_t>(m_index);
    Segment segment;
    const auto stored = co_await getObject(m_store, progressObjectName(m_job.id, index));
    if (isOk(stored)) {
        auto progress = decodeProgress(m_job.id, index, valueOf(stored));
        if (!isOk(progress))
            co_return errorOf(progress);
        segment.progress = valueOf(std::move(progress));
        if (segment.progress.itemCount != entry.itemCount)
            co_return Error{ErrorCode::ProtocolError,
                            "the progress and the job have different item counts"};
    } else if (errorOf(stored).code != ErrorCode::NotFound) {
        co_return errorOf(stored);
    } else if (m_job.isActive) {
        // Segments are claimed in order, so no later segment has results.
        m_index = m_job.segments.size() - 1;
        m_segment = std::move(segment);
        co_return Done{};
    }
    const auto object = co_await getObject(m_store, segmentObjectName(m_job.id, entry.hash));
    if (!isOk(object))
        co_return errorOf(object);
    auto items = decodeSegment(valueOf(object).data, entry.hash);
    if (!isOk(items))
        co_return errorOf(items);
    if (valueOf(items).size() != entry.itemCount)
        co_return Error{ErrorCode::ProtocolError,
                        "the segment and the job have different item counts"};
    for (BatchItem &item : valueOf(items))
        segment.customIds.push_back(std::move(item.customId));
    m_segment = std::move(segment);
    co_return Done{};
}

asio::awaitable<Result<std::string>> ResultStream::nextSegmentLines()
{
    Segment &segment = *m_segment;
    if (segment.nextPart < segment.progress.parts.size()) {
        const auto results = co_await loadPart(segment.progress.parts[segment.nextPart]);
        if (!isOk(results))
            co_return errorOf(results);
        ++segment.nextPart;
        co_return formatResults(valueOf(results));
    }
    if (std::exchange(segment.isRemainderReturned, true))
        co_return std::string();
    std::string lines = formatResults(segment.progress.results);
    if (!m_job.isActive)
        lines += formatItemsWithoutResult();
    co_return lines;
}

asio::awaitable<Result<ResultMap>> ResultStream::loadPart(const ResultPart &part)
{
    std::string data;
    for (const ContentHash &chunk : part.chunks) {
        const auto object = co_await getObject(m_store, chunkObjectName(m_job.id, chunk));
        if (!isOk(object))
            co_return errorOf(object);
        data += valueOf(object).data;
    }
    co_return decodePart(data, m_job.segments[m_index].itemCount);
}

std::string ResultStream::formatResults(const ResultMap &results) const
{
    std::string lines;
    for (const auto &[item, result] : results)
        lines += formatResultLine(m_segment->customIds[item], *result);
    return lines;
}

// Formats an error line for each item that will not get a result because the job was cancelled.
std::string ResultStream::formatItemsWithoutResult() const
{
    const Progress &progress = m_segment->progress;
    std::set<std::uint32_t> done;
    for (const auto &[item, result] : progress.results)
        done.insert(item);
    for (const ResultPart &part : progress.parts)
        done.insert(part.items.begin(), part.items.end());
    std::string lines;
    for (std::uint32_t item = 0; item < m_segment->customIds.size(); ++item) {
        if (done.contains(item))
            continue;
        const ItemResult result{
                0,
                progress.started.contains(item)
                        ? ResultError{"outcome_unknown", "the job was cancelled while the item ran"}
                        : ResultError{"cancelled", "the job was cancelled"}};
        lines += formatResultLine(m_segment->customIds[item], result);
    }
    return lines;
}

} // namespace pistachiofall
