#include "rules/changeorigin.h"

#include "rules/linetokens.h"
#include "rules/rulelimits.h"
#include "rules/ruletext.h"

#include <array>
#include <ctime>

#include <openssl/rand.h>

namespace pistachiofall {

Result<ChangeOrigin> makeChangeOrigin(const std::string &author,
                                      std::chrono::system_clock::time_point time)
{
    if (!detail::isAuthor(author))
        return Error{ErrorCode::InvalidArgument,
                     "author " + detail::quoted(author) + " is not accepted; accepted: up to "
                             + std::to_string(MaxAuthorBytes)
                             + " bytes without ':', '#' and control characters"};
    std::array<unsigned char, 16> id{};
    if (RAND_bytes(id.data(), static_cast<int>(id.size())) != 1)
        return Error{ErrorCode::Internal, "the system gives no random bytes"};
    return ChangeOrigin{author, std::chrono::floor<std::chrono::seconds>(time),
                        detail::formatHex(id)};
}

std::string formatTime(std::chrono::sys_seconds time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    std::array<char, 64> text{};
    if (gmtime_r(&seconds, &parts) == nullptr)
        return "unknown time";
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), size};
}

} // namespace pistachiofall
