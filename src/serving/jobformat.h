#pragma once

#include "base/result.h"
#include "serving/jobhead.h"
#include "serving/jobitem.h"
#include "store/objectspace.h"

#include <string>
#include <string_view>
#include <vector>

/// How batch jobs are written to the store.
namespace pistachiofall {

/// The object of a job; its spec holds what does not change, its status the rest.
SpaceObject encodeJobHead(const JobHead &head);
/// ProtocolError for an object of another writer.
Result<JobHead> decodeJobHead(const SpaceObject &object);

/// The same as one text, for peers.
std::string encodeJobText(const JobHead &head);
/// ProtocolError for a text that is no job.
Result<JobHead> decodeJobText(std::string_view text);

/// The items in as few parts as the size of an object allows.
std::vector<boost::json::value> encodeJobItems(const std::vector<JobItem> &items);
/// Appends the items of one part. ProtocolError for an object of another writer.
Result<Done> decodeJobItems(const boost::json::value &part, std::vector<JobItem> &items);

} // namespace pistachiofall
