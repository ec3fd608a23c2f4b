#include "http/answercheck.h"

#include <string>

namespace pistachiofall::detail {

namespace {

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

} // namespace

Result<Done> checkStatus(unsigned status)
{
    if (status < MinStatus || status > MaxStatus)
        return Error{ErrorCode::ProtocolError,
                     "the answer has status " + std::to_string(status)
                             + ", which is not between 100 and 599"};
    return Done{};
}

} // namespace pistachiofall::detail
