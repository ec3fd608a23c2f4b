#pragma once

#include "base/result.h"
#include "batch/bytereader.h"
#include "batch/bytewriter.h"
#include "batch/contenthash.h"
#include "batch/itemresult.h"
#include "batch/jobid.h"
#include "batch/resultpart.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

namespace batch::detail {

void writeResults(ByteWriter &writer, const ResultMap &results);

/// Puts the reader into the failed state if an item index is not below itemCount.
ResultMap readResults(ByteReader &reader, std::uint32_t itemCount);

} // namespace batch::detail

/// A part and the encoded data of its chunks.
struct EncodedPart
{
    ResultPart part;
    std::vector<std::string> chunks;
};

EncodedPart encodePart(const ResultMap &results);

/// Decodes the concatenated chunks of a part. itemCount is the number of items of the segment.
/// Returns ProtocolError if the data is corrupt.
Result<ResultMap> decodePart(std::string_view data, std::uint32_t itemCount);

/// The name contains the job id, so that the chunk can be removed with the job.
std::string chunkObjectName(const JobId &job, const ContentHash &hash);

} // namespace pistachiofall
