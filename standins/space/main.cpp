#include "common/httpserver.h"
#include "common/spacestore.h"

#include <cstdio>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

using namespace pistachiofall;
using namespace pistachiofall::standins;

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for a store of objects with kinds and revisions");
    TCLAP::ValueArg<std::string> listen("", "listen", "address", false, "127.0.0.1:0", "IP:PORT",
                                        line);
    line.parse(argc, argv);
    const auto store = std::make_shared<SpaceStore>();
    boost::asio::io_context context(1);
    const auto port =
            startHttpServer(context.get_executor(), listen.getValue(),
                            [store](HttpExchange &exchange) { return store->handle(exchange); });
    if (!isOk(port)) {
        std::fprintf(stderr, "%s\n", errorOf(port).message.c_str());
        return 1;
    }
    announcePort(valueOf(port));
    context.run();
    return 0;
}
