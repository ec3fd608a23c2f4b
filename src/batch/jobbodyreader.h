#pragma once

#include "base/result.h"
#include "batch/batchitem.h"
#include "batch/contenthash.h"
#include "batch/contenthasher.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace pistachiofall {

/// Parses the JSON lines of a submission, which arrive in pieces of any size. Keeps the items of at
/// most one segment, one partial line, and a hash of each custom_id in memory.
class JobBodyReader
{
public:
    /// Adds the next piece of the body. Returns InvalidArgument with the line number if a line is
    /// invalid; nothing may be added after a failure.
    Result<Done> add(std::string_view piece);

    /// Marks the end of the submission. The last line needs no trailing newline.
    Result<Done> finish();

    /// Returns the items of the next segment if there are enough of them or the submission is
    /// complete. Call repeatedly after each add() and finish() until it returns nullopt.
    std::optional<std::vector<BatchItem>> takeSegment();

    std::uint64_t itemCount() const { return m_itemCount; }

    /// Returns the hash of all items, which does not depend on how the body was split into pieces.
    ContentHash bodyHash() { return m_hasher.finish(); }

private:
    Result<Done> addLine(std::string_view line);

    std::string m_partialLine;
    std::uint64_t m_lineNumber = 0;
    std::uint64_t m_itemCount = 0;
    std::vector<BatchItem> m_items;
    // End indices of the segments in m_items, determined by the number and the sizes of the items.
    std::vector<std::size_t> m_segmentEnds;
    std::size_t m_segmentBytes = 0;
    bool m_isFinished = false;
    ContentHasher m_hasher;
    std::unordered_set<std::uint64_t> m_customIds;
};

} // namespace pistachiofall
