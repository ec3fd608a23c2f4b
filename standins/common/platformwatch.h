#pragma once

#include "common/apirequest.h"
#include "common/httpexchange.h"
#include "common/platformstate.h"

#include <memory>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::standins {

/// Serves a watch in the real form: chunks of JSON lines until its timeout. The faults hold for
/// open watches as well.
boost::asio::awaitable<void> servePlatformWatch(std::shared_ptr<PlatformState> state,
                                                ApiRequest request, HttpExchange &exchange);

/// Keeps a call unanswered until its peer closes the connection.
boost::asio::awaitable<void> hangPlatformCall(HttpExchange &exchange);

} // namespace pistachiofall::standins
