#include "batch/jobbodyreader.h"

#include "base/stablehash.h"
#include "batch/jobcodec.h"
#include "batch/segmentcodec.h"

#include <iterator>
#include <utility>

namespace pistachiofall {

namespace {

// Bounds the memory for one segment. A segment whose items do not compress well is split when it is
// encoded.
constexpr std::size_t MaxUncompressedBytes = 2'000'000;

bool isBlank(std::string_view line)
{
    return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

} // namespace

Result<Done> JobBodyReader::add(std::string_view piece)
{
    for (;;) {
        const auto end = piece.find('\n');
        const std::string_view part = piece.substr(0, end);
        if (m_partialLine.size() + part.size() > MaxItemBytes) {
            return Error{ErrorCode::InvalidArgument,
                         "line " + std::to_string(m_lineNumber + 1) + " has more than "
                                 + std::to_string(MaxItemBytes) + " bytes"};
        }
        m_partialLine += part;
        if (end == std::string_view::npos)
            return Done{};
        auto added = addLine(m_partialLine);
        if (!isOk(added))
            return added;
        m_partialLine.clear();
        piece.remove_prefix(end + 1);
    }
}

Result<Done> JobBodyReader::finish()
{
    auto added = addLine(m_partialLine);
    if (!isOk(added))
        return added;
    m_partialLine.clear();
    if (m_itemCount == 0)
        return Error{ErrorCode::InvalidArgument, "the job has no items"};
    if (!m_items.empty() && (m_segmentEnds.empty() || m_segmentEnds.back() != m_items.size()))
        m_segmentEnds.push_back(m_items.size());
    m_isFinished = true;
    return Done{};
}

Result<Done> JobBodyReader::addLine(std::string_view line)
{
    ++m_lineNumber;
    if (isBlank(line))
        return Done{};
    auto item = parseBatchItem(line);
    if (!isOk(item)) {
        return Error{ErrorCode::InvalidArgument,
                     "line " + std::to_string(m_lineNumber) + ": " + errorOf(item).message};
    }
    if (++m_itemCount > MaxJobItems) {
        return Error{ErrorCode::InvalidArgument,
                     "the job has more than " + std::to_string(MaxJobItems) + " items"};
    }
    const BatchItem &added = valueOf(item);
    if (!m_customIds.insert(stableHash(added.customId)).second) {
        return Error{ErrorCode::InvalidArgument,
                     "line " + std::to_string(m_lineNumber) + ": custom_id '" + added.customId
                             + "' is already used"};
    }
    m_hasher.addText(added.customId);
    m_hasher.addText(added.path);
    m_hasher.addText(added.body);
    m_segmentBytes += line.size();
    m_items.push_back(valueOf(std::move(item)));
    const std::size_t begin = m_segmentEnds.empty() ? 0 : m_segmentEnds.back();
    if (m_items.size() - begin >= MaxSegmentItems || m_segmentBytes >= MaxUncompressedBytes) {
        m_segmentEnds.push_back(m_items.size());
        m_segmentBytes = 0;
    }
    return Done{};
}

std::optional<std::vector<BatchItem>> JobBodyReader::takeSegment()
{
    if (m_segmentEnds.empty())
        return std::nullopt;
    const std::size_t end = m_segmentEnds.front();
    const auto last = m_items.begin() + static_cast<std::ptrdiff_t>(end);
    std::vector<BatchItem> segment(std::make_move_iterator(m_items.begin()),
                                   std::make_move_iterator(last));
    m_items.erase(m_items.begin(), last);
    m_segmentEnds.erase(m_segmentEnds.begin());
    for (std::size_t &next : m_segmentEnds)
        next -= end;
    return segment;
}

} // namespace pistachiofall
