#include "http/requesthead.h"

namespace pistachiofall::detail {

std::optional<RequestTarget> splitTarget(std::string_view target)
{
    constexpr std::string_view Scheme = "http://";
    if (target.size() > Scheme.size()
        && equalsIgnoringCase(target.substr(0, Scheme.size()), Scheme)) {
        const auto pathBegin = target.find_first_of("/?", Scheme.size());
        target = pathBegin == std::string_view::npos ? "/" : target.substr(pathBegin);
    }
    if (target.empty() || target.front() != '/' || target.find('#') != std::string_view::npos)
        return std::nullopt;
    const auto question = target.find('?');
    if (question == std::string_view::npos)
        return RequestTarget{target, {}};
    return RequestTarget{target.substr(0, question), target.substr(question + 1)};
}

} // namespace pistachiofall::detail
