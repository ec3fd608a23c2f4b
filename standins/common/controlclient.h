#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace pistachiofall::standins {

/// Sends one request to the control API of a stand-in on 127.0.0.1 and waits for the answer, for at
/// most 5 s. Returns the body of a 200 answer; any other answer is InvalidArgument with its body.
Result<std::string> callControl(std::uint16_t port, const std::string &method,
                                const std::string &target);

} // namespace pistachiofall::standins
