#include "base/log.h"
#include "cli/runcommand.h"

#include <cstdio>
#include <string_view>

int main(int argc, char **argv)
{
    pistachiofall::initializeLog();
    if (argc == 2 && std::string_view(argv[1]) == "--version") {
        std::puts("pistachiofall " PISTACHIOFALL_VERSION);
        return 0;
    }
    return pistachiofall::runCommand(argc, argv);
}
