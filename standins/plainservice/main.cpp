#include "common/httpserver.h"
#include "common/plainservice.h"

#include <cstdio>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

using namespace pistachiofall;
using namespace pistachiofall::standins;

int main(int argc, char **argv)
{
    using std::chrono::milliseconds;
    TCLAP::CmdLine line("Stand-in for a plain service that counts how often each call runs");
    TCLAP::ValueArg<std::string> listen("", "listen", "address", false, "127.0.0.1:0", "IP:PORT",
                                        line);
    TCLAP::ValueArg<unsigned> delay("", "delay-ms", "time that a call takes", false, 0, "MS", line);
    TCLAP::ValueArg<unsigned> closeIdle("", "close-idle-ms",
                                        "time after which an idle connection is closed", false, 0,
                                        "MS", line);
    TCLAP::ValueArg<std::string> fail("", "fail", "calls that fail", false, "off", "N|on|off",
                                      line);
    TCLAP::ValueArg<std::string> closeBeforeAnswer("", "close-before-answer",
                                                   "calls whose connection breaks", false, "off",
                                                   "N|on|off", line);
    line.parse(argc, argv);
    const PlainServiceSettings settings{milliseconds{delay.getValue()},
                                        milliseconds{closeIdle.getValue()}};
    const auto service = std::make_shared<PlainService>(settings);
    if (!service->fail().set(fail.getValue())
        || !service->closeBeforeAnswer().set(closeBeforeAnswer.getValue())) {
        std::fputs("--fail and --close-before-answer take a number, on or off\n", stderr);
        return 1;
    }
    boost::asio::io_context context(1);
    const auto port = startHttpServer(
            context.get_executor(), listen.getValue(),
            [service](HttpExchange &exchange) { return service->handle(exchange); });
    if (!isOk(port)) {
        std::fprintf(stderr, "%s\n", errorOf(port).message.c_str());
        return 1;
    }
    announcePort(valueOf(port));
    context.run();
    return 0;
}
