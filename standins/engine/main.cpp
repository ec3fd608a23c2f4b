#include "common/engine.h"
#include "common/httpserver.h"

#include <cstdio>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

using namespace pistachiofall;
using namespace pistachiofall::standins;

namespace {

using Number = TCLAP::ValueArg<unsigned>;

struct Arguments
{
    std::string address;
    EngineSettings settings;
};

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for a model engine with continuous batching");
    const EngineSettings defaults;
    TCLAP::ValueArg<std::string> listen("", "listen", "address", false, "127.0.0.1:0", "IP:PORT",
                                        line);
    TCLAP::ValueArg<std::string> model("", "model", "model that it serves", false, defaults.model,
                                       "NAME", line);
    Number slots("", "slots", "requests at full speed", false, 16, "N", line);
    Number firstToken("", "first-token-ms", "time to the first token", false, 100, "MS", line);
    Number tokenGap("", "token-gap-ms", "time between tokens", false, 20, "MS", line);
    Number coldSeconds("", "cold-seconds", "time that it is cold after its start", false, 0, "S",
                       line);
    Number coldSlots("", "cold-slots", "requests that it takes while cold", false, 2, "N", line);
    Number lag("", "metrics-lag-ms", "age of the load in /metrics", false, 500, "MS", line);
    Number prefixBlocks("", "prefix-blocks", "blocks of prompt prefixes that it keeps", false, 0,
                        "N", line);
    Number prefixCharacters("", "prefix-block-characters", "characters of a block", false, 64, "N",
                            line);
    TCLAP::ValueArg<std::string> version("", "model-version", "version that it has loaded", false,
                                         "", "VERSION", line);
    Number loadTime("", "load-ms", "time to load a version", false, 1000, "MS", line);
    TCLAP::SwitchArg ignoresFencing("", "ignore-fencing", "accepts old fencing numbers", line);
    line.parse(argc, argv);
    using std::chrono::milliseconds;
    return {listen.getValue(),
            {model.getValue(), std::max(1U, slots.getValue()), milliseconds{firstToken.getValue()},
             milliseconds{tokenGap.getValue()}, std::chrono::seconds{coldSeconds.getValue()},
             coldSlots.getValue(), milliseconds{lag.getValue()}, prefixBlocks.getValue(),
             prefixCharacters.getValue(), version.getValue(), milliseconds{loadTime.getValue()},
             !ignoresFencing.getValue()}};
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    boost::asio::io_context context(1);
    const auto engine = std::make_shared<Engine>(arguments.settings);
    const auto port =
            startHttpServer(context.get_executor(), arguments.address,
                            [engine](HttpExchange &exchange) { return engine->handle(exchange); });
    if (!isOk(port)) {
        std::fprintf(stderr, "%s\n", errorOf(port).message.c_str());
        return 1;
    }
    announcePort(valueOf(port));
    context.run();
    return 0;
}
