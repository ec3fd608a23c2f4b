#include "cli/loadscenario.h"
#include "cli/load.h"
#include "commandrun.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

const std::string runSection = "[run]\naddresses = ['127.0.0.1:1', '127.0.0.1:2']\n";
const std::string flowSection = "[[flow]]\norganisation = 'mill'\nkey = 'k'\nmodel = 'm'\n";

std::string parseErrors(const std::string &text)
{
    const auto options = parseScenario(text, "s.toml");
    return isOk(options) ? "" : errorOf(options).message;
}

} // namespace

TEST_GROUP(LoadScenario){};

// Guards against a setting that is read into the wrong member, or not at all.
TEST(LoadScenario, readsEveryKey)
{
    const testing::TemporaryFile keyFile("pf_k_s\n");
    const auto loaded = parseScenario(
            runSection
                    + "seed = 7\nduration_ms = 8\ntimeout_ms = 9\nobjective_ms = 10\n"
                      "max_connections = 11\n[[flow]]\norganisation = 'mill'\nkey_file = '"
                    + keyFile.path()
                    + "'\nrate = 2.5\nmodel = 'm'\nstream = true\nprompt_bytes = 12\n"
                      "max_tokens = 13\nburst_factor = 5\nburst_begin_ms = 14\n"
                      "burst_end_ms = 15\n[[flow]]\norganisation = 'desk'\nkey = 'k2'\n"
                      "path = '/print'\n[[batch]]\norganisation = 'mill'\nkey = 'k3'\n"
                      "model = 'b'\nitems = 16\ndue_in_seconds = 17\nbegin_ms = 18\n"
                      "prompt_bytes = 19\nmax_tokens = 20\n",
            "s.toml");
    STRCMP_EQUAL("", isOk(loaded) ? "" : errorOf(loaded).message.c_str());
    const LoadOptions &options = valueOf(loaded);
    CHECK(options.seed == 7 && options.duration == 8ms && options.timeout == 9ms);
    CHECK(options.objective == 10ms && options.maxConnections == 11);
    CHECK_EQUAL(2U, options.addresses.size());
    const LoadFlow &first = options.flows.at(0);
    CHECK(first.organisation == "mill" && first.key == "pf_k_s" && first.model == "m");
    CHECK(first.ratePerSecond == 2.5 && first.isStream && first.promptBytes == 12);
    CHECK(first.maxTokens == 13 && first.burst.factor == 5);
    CHECK(first.burst.begin == 14ms && first.burst.end == 15ms);
    CHECK(options.flows.at(1).path == "/print" && options.flows.at(1).key == "k2");
    const LoadBatch &batch = options.batches.at(0);
    CHECK(batch.organisation == "mill" && batch.key == "k3" && batch.model == "b");
    CHECK(batch.items == 16 && batch.dueIn == 17s && batch.begin == 18ms);
    CHECK(batch.promptBytes == 19 && batch.maxTokens == 20);
}

// Guards against silently accepted mistakes in a scenario, which would change what is measured.
TEST(LoadScenario, rejectsMistakesWithTheirLines)
{
    STRCMP_EQUAL("s.toml:7: unknown key 'rat' in [flow]; accepted: organisation, key, key_file, "
                 "rate, model, path, stream, prompt_bytes, max_tokens, burst_factor, "
                 "burst_begin_ms, burst_end_ms",
                 parseErrors(runSection + flowSection + "rat = 1\n").c_str());
    STRCMP_EQUAL(
            "s.toml:7: [flow] rate '0' is not accepted; accepted: a number from 0.001 to 10000",
            parseErrors(runSection + flowSection + "rate = 0\n").c_str());
    STRCMP_EQUAL("s.toml:7: [flow] stream 'yes' is not accepted; accepted: true or false, "
                 "without quotes",
                 parseErrors(runSection + flowSection + "stream = 'yes'\n").c_str());
    STRCMP_EQUAL("s.toml:6: one of model and path is needed, and not both",
                 parseErrors(runSection + flowSection + "path = '/p'\n").substr(0, 55).c_str());
    STRCMP_EQUAL("s.toml:1: missing key 'addresses' in [run]",
                 parseErrors("[run]\n" + flowSection).c_str());
    STRCMP_EQUAL("s.toml:1: there is no flow and no batch; accepted: at least one",
                 parseErrors(runSection).c_str());
    STRCMP_EQUAL("s.toml:7: unknown section 'flows'; accepted: run, flow, batch",
                 parseErrors(runSection + flowSection + "[[flows]]\n").c_str());
    CHECK(parseErrors(runSection + "[flow]\nrate = 1\n").find("accepted: [[flow]]")
          != std::string::npos);
    CHECK(parseErrors("[run\n").starts_with("s.toml:1: "));
}

// Guards against a burst with another rate or another period than configured.
TEST(LoadScenario, burstMultipliesTheRateBetweenItsTimes)
{
    const LoadBurst burst{5, 10s, 12s};
    CHECK(applyBurst(burst, 9s) == 9s);
    CHECK(applyBurst(burst, 15s) == 11s);
    CHECK(applyBurst(burst, 20s) == 12s);
    CHECK(applyBurst(burst, 21s) == 13s);
    CHECK(applyBurst(LoadBurst{}, 21s) == 21s);
}

// Guards against keys that can only be given on the command line, against errors that show a key,
// and against ignoring other options beside --scenario.
TEST(LoadScenario, keysComeFromFiles)
{
    const testing::TemporaryFile keyFile("pf_k_s\n");
    const auto parsed = parseLoadFlow("@" + keyFile.path() + ":3:m");
    CHECK(isOk(parsed));
    STRCMP_EQUAL("pf_k_s", valueOf(parsed).key.c_str());
    const testing::TemporaryFile empty("\n");
    CHECK_FALSE(isOk(parseLoadFlow("@" + empty.path() + ":3:m")));
    CHECK_FALSE(isOk(parseLoadFlow("@/nowhere/key:3:m")));
    const testing::TemporaryFile scenario(runSection + flowSection + "rat = 1\n");
    const auto wrong = testing::collectOutput([&] {
        return runLoadCommand({"load", "--scenario", scenario.path()});
    });
    CHECK_EQUAL(1, wrong.exitCode);
    CHECK(wrong.err.find(scenario.path() + ":7: unknown key 'rat'") != std::string::npos);
    const auto both = testing::collectOutput([&] {
        return runLoadCommand({"load", "--scenario", scenario.path(), "--seed", "2"});
    });
    CHECK_EQUAL(2, both.exitCode);
}
