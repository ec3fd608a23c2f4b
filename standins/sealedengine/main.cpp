#include "common/httpserver.h"
#include "common/sealedengine.h"

#include <cstdio>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

using namespace pistachiofall;
using namespace pistachiofall::standins;

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for an endpoint that seals its answers");
    TCLAP::ValueArg<std::string> listen("", "listen", "address", false, "127.0.0.1:0", "IP:PORT",
                                        line);
    TCLAP::ValueArg<std::string> id("", "id", "name of this start", true, "", "ID", line);
    TCLAP::ValueArg<int> events("", "events", "events of a stream", false, 30, "N", line);
    TCLAP::ValueArg<int> gap("", "event-gap-ms", "time between two events", false, 10, "MS", line);
    TCLAP::ValueArg<std::string> deadly("", "deadly-part", "prompt part that ends the process",
                                        false, "", "ID", line);
    line.parse(argc, argv);
    const auto engine = std::make_shared<SealedEngine>(
            SealedEngine::Settings{id.getValue(), events.getValue(),
                                   std::chrono::milliseconds{gap.getValue()}, deadly.getValue()});
    boost::asio::io_context context(1);
    const auto port =
            startHttpServer(context.get_executor(), listen.getValue(),
                            [engine](HttpExchange &exchange) { return engine->handle(exchange); });
    if (!isOk(port)) {
        std::fprintf(stderr, "%s\n", errorOf(port).message.c_str());
        return 1;
    }
    announcePort(valueOf(port));
    context.run();
    return 0;
}
