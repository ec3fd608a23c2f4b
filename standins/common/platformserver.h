#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall::standins {

/// Runs the stand-in of the platform, an object API and an instance list in memory, on IP:PORT
/// (port 0 picks a free one). Returns the port. It runs as long as the executor. Changes of the
/// instance list become visible the lag after they were made.
///
/// The API is that of ConfigMaps (get, list with labelSelector and fieldSelector=metadata.name,
/// create, update, remove, watch) and of EndpointSlices (list), in any name space. It checks names,
/// labels and base64, and refuses values above 1,000,000 bytes of base64, each with the statuses of
/// the real API.
///
/// The control API on the same port answers in every mode, with 400 for a value it does not accept:
///
/// - POST /control with any of these query parameters:
///   - mode=up|down|hang: down resets the connection of each call, and of open watches, without an
///     answer. hang accepts calls, gives them no effect and never answers them, and open watches go
///     silent; what hung stays silent after the mode has changed;
///   - slow-ms=N: each call waits N ms, then takes effect and is answered;
///   - lose-answers=N: the next N writes take effect, and the connection is then reset without an
///     answer. Writes that are refused are answered and do not count;
///   - freeze-list=on|off: the instance list keeps its present content and version;
///   - compact=1: forgets the history of changes, so that watches with older versions get 410.
/// - PUT /control/instances/NAME?failure-domain=D&peer=IP:PORT&admin=IP:PORT&leaving=0|1 adds or
///   changes an instance; both addresses have the same IP. DELETE removes it.
/// - GET /control/calls: the received calls by kind (get, list, watch, create, update, remove,
///   instances) and their total, as a JSON object.
/// - GET /control/objects: a JSON array of {namespace, name, version, size}, with the size in bytes
///   of base64.
Result<std::uint16_t> startPlatformServer(const boost::asio::any_io_executor &executor,
                                          const std::string &address,
                                          std::chrono::milliseconds listLag);

} // namespace pistachiofall::standins
