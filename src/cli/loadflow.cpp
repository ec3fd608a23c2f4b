#include "cli/loadflow.h"

#include "cli/keyfile.h"
#include "cli/loadlimits.h"

#include <cmath>
#include <cstdlib>

namespace pistachiofall {

namespace {

constexpr std::string_view StreamSuffix = ":stream";

} // namespace

Result<LoadFlow> parseLoadFlow(std::string_view text)
{
    LoadFlow flow;
    if (text.ends_with(StreamSuffix)) {
        flow.isStream = true;
        text.remove_suffix(StreamSuffix.size());
    }
    const std::size_t keyEnd = text.find(':');
    const std::size_t rateEnd =
            keyEnd == std::string_view::npos ? keyEnd : text.find(':', keyEnd + 1);
    if (rateEnd == std::string_view::npos || keyEnd == 0 || rateEnd + 1 == text.size())
        return Error{ErrorCode::InvalidArgument,
                     "a flow is KEY:RATE:MODEL or KEY:RATE:MODEL:stream; KEY may be @FILE"};
    auto key = resolveKeyArgument(std::string(text.substr(0, keyEnd)));
    if (!isOk(key))
        return errorOf(key);
    flow.key = valueOf(std::move(key));
    flow.model = text.substr(rateEnd + 1);
    const std::string rate(text.substr(keyEnd + 1, rateEnd - keyEnd - 1));
    char *end = nullptr;
    flow.ratePerSecond = std::strtod(rate.c_str(), &end);
    const bool isNumber =
            !rate.empty() && end == rate.c_str() + rate.size() && std::isfinite(flow.ratePerSecond);
    if (!isNumber || flow.ratePerSecond <= 0 || flow.ratePerSecond > MaxLoadRatePerSecond) {
        return Error{ErrorCode::InvalidArgument,
                     "the rate '" + rate
                             + "' of a flow is not accepted; accepted: above 0, at most 10000"};
    }
    return flow;
}

} // namespace pistachiofall
