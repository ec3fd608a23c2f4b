#include "common/httpserver.h"
#include "common/platformserver.h"

#include <chrono>
#include <cstdio>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

// The stand-in of the platform: object API and instance list. common/platformserver.h describes it
// and its control API.
int main(int argc, char **argv)
{
    namespace standins = pistachiofall::standins;
    TCLAP::CmdLine arguments("Stand-in of the platform: object API and instance list.");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address; port 0 picks a free one.", false,
                                        "127.0.0.1:0", "IP:PORT", arguments);
    TCLAP::ValueArg<unsigned> lag("", "list-lag-ms", "Lag of the instance list.", false, 0, "MS",
                                  arguments);
    arguments.parse(argc, argv);

    boost::asio::io_context context(1);
    const auto port = standins::startPlatformServer(context.get_executor(), listen.getValue(),
                                                    std::chrono::milliseconds(lag.getValue()));
    if (!isOk(port)) {
        std::fprintf(stderr, "%s\n", errorOf(port).message.c_str());
        return 1;
    }
    standins::announcePort(valueOf(port));
    context.run();
    return 0;
}
