#include "common/faultproxy.h"
#include "common/httpserver.h"
#include "common/routeargument.h"

#include <cstdio>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

namespace {

using namespace pistachiofall;

// Adds the routes and starts the control API; the error names the argument that failed.
Result<std::uint16_t> startProxy(standins::FaultProxy &proxy,
                                 const std::vector<std::string> &routes, const std::string &control)
{
    for (const std::string &text : routes) {
        const auto route = standins::RouteArgument::parse(text);
        if (!isOk(route))
            return errorOf(route);
        const auto port = proxy.addRoute(valueOf(route).name, valueOf(route).listenAddress,
                                         valueOf(route).targetAddress);
        if (!isOk(port))
            return errorOf(port);
        std::printf("route %s %u\n", valueOf(route).name.c_str(),
                    static_cast<unsigned>(valueOf(port)));
    }
    return proxy.startControl(control);
}

} // namespace

// The TCP proxy that injects faults. common/faultproxy.h describes it and its control API.
int main(int argc, char **argv)
{
    TCLAP::CmdLine arguments("TCP proxy that injects faults.");
    TCLAP::ValueArg<std::string> control("", "control", "Address of the control API.", false,
                                         "127.0.0.1:0", "IP:PORT", arguments);
    TCLAP::MultiArg<std::string> routes("", "route", "A route; may be given several times.", false,
                                        "NAME=LISTEN_IP:PORT,TARGET_IP:PORT", arguments);
    arguments.parse(argc, argv);

    boost::asio::io_context context(1);
    standins::FaultProxy proxy(context.get_executor());
    const auto port = startProxy(proxy, routes.getValue(), control.getValue());
    if (!isOk(port)) {
        std::fprintf(stderr, "%s\n", errorOf(port).message.c_str());
        return 1;
    }
    standins::announcePort(valueOf(port));
    context.run();
    return 0;
}
