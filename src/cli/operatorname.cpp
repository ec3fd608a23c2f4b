#include "cli/operatorname.h"

#include "rules/ruletext.h"

#include <cstdlib>

#include <pwd.h>
#include <unistd.h>

namespace pistachiofall {

std::string operatorName()
{
    const char *user = std::getenv("USER");
    if (user != nullptr && detail::isAuthor(user))
        return user;
    const passwd *entry = getpwuid(geteuid());
    if (entry != nullptr && entry->pw_name != nullptr && detail::isAuthor(entry->pw_name))
        return entry->pw_name;
    return "uid " + std::to_string(geteuid());
}

} // namespace pistachiofall
