#include "common/keysightings.h"

#include <regex>
#include <string>

namespace pistachiofall::standins {

void KeySightings::inspect(const HttpExchange &exchange)
{
    const bool hasCredentials = !exchange.header("Authorization").empty()
            || !exchange.header("Proxy-Authorization").empty()
            || !exchange.header("Cookie").empty();
    if (hasCredentials || hasKeyText(exchange.target()) || hasKeyText(exchange.headerText())
        || hasKeyText(exchange.body()))
        ++m_count;
}

bool hasKeyText(std::string_view text)
{
    static const std::regex pattern("pf(_|%5[Ff])[A-Za-z0-9-]+(_|%5[Ff])[A-Za-z0-9-]{8}");
    // The regular expression takes about 1 us for each 10 bytes; most texts do not need it.
    for (auto begin = text.find("pf"); begin != std::string_view::npos;
         begin = text.find("pf", begin + 1)) {
        const std::string_view candidate = text.substr(begin, 200);
        if (std::regex_search(candidate.begin(), candidate.end(), pattern,
                              std::regex_constants::match_continuous))
            return true;
    }
    return false;
}

} // namespace pistachiofall::standins
