#pragma once

#include "base/result.h"
#include "serving/jobitem.h"
#include "serving/jobrecord.h"
#include "store/objectspace.h"

#include <string>
#include <string_view>
#include <vector>

/// How batch jobs are written to the store.
namespace pistachiofall {

/// The object of a job; its spec holds what does not change, its status the rest. Results that lie
/// in parts are left out.
SpaceObject encodeJobRecord(const JobRecord &record);
/// ProtocolError for an object of another writer.
Result<JobRecord> decodeJobRecord(const SpaceObject &object);

/// The same as one text, for peers.
std::string encodeJobText(const JobRecord &record);
/// ProtocolError for a text that is no job.
Result<JobRecord> decodeJobText(std::string_view text);

/// How many bytes a result takes in an object, at most.
std::size_t encodedSize(const JobResult &result);
/// Results that lie in an object of their own.
boost::json::value encodeJobResults(const std::vector<JobResult> &results);
/// ProtocolError for an object without results.
Result<std::vector<JobResult>> decodeJobResults(const boost::json::value &part);

/// The items in as few parts as possible, each of at most so many bytes unless one item is larger.
std::vector<boost::json::value> encodeJobItems(const std::vector<JobItem> &items,
                                               std::size_t maxPartBytes);
/// Appends the items of one part. ProtocolError for an object of another writer.
Result<Done> decodeJobItems(const boost::json::value &part, std::vector<JobItem> &items);

} // namespace pistachiofall
