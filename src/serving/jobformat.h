#pragma once

#include "base/result.h"
#include "serving/jobitem.h"
#include "serving/jobrecord.h"
#include "store/objectspace.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// How batch jobs are written to the store.
namespace pistachiofall {

/// Encodes a job as a store object: the spec holds the immutable fields, the status the others.
/// Results stored in parts are left out.
SpaceObject encodeJobRecord(const JobRecord &record);
/// ProtocolError if the object is not a batch job.
Result<JobRecord> decodeJobRecord(const SpaceObject &object);

/// Encodes the same object as JSON text, to send to peers.
std::string encodeJobText(const JobRecord &record);
/// ProtocolError if the text is not an encoded job.
Result<JobRecord> decodeJobText(std::string_view text);

/// Upper bound for the encoded size of a result in bytes.
std::size_t encodedSize(const JobResult &result);
/// Upper bound for the encoded size of the failures in bytes.
std::size_t encodedSize(const std::map<std::string, ItemFailures> &failures);
/// Encodes the results of one part, which is a store object of its own.
boost::json::value encodeJobResults(const std::vector<JobResult> &results);
/// ProtocolError if the part has no results.
Result<std::vector<JobResult>> decodeJobResults(const boost::json::value &part);

/// Packs the items in order into parts of at most maxPartBytes each. A larger item gets a part of
/// its own.
std::vector<boost::json::value> encodeJobItems(const std::vector<JobItem> &items,
                                               std::size_t maxPartBytes);
/// Appends the items of one part. ProtocolError if an item has no id or path, or an invalid body.
Result<Done> decodeJobItems(const boost::json::value &part, std::vector<JobItem> &items);

} // namespace pistachiofall
