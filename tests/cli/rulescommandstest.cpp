#include "commandrun.h"
#include "platformrunner.h"

#include "cli/applyrules.h"
#include "rules/keycheck.h"
#include "rules/rulefile.h"

#include <atomic>
#include <future>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using boost::beast::http::verb;
using testing::CommandRun;
using testing::runPistachiofall;
using testing::TemporaryFile;

namespace {

constexpr const char *Organisation = "organisation acme rate=50 burst=100 # by Ana: contract 7\n";
constexpr const char *Domain = "domain east-a state=out # by Bo: cooling work\n";
constexpr const char *Model = "model tour version=v2 # by Bo: rollout\n";

} // namespace

TEST_GROUP(RulesCommands)
{
    std::atomic<int> answers{0};
    testing::PlatformRunner platform;

    CommandRun show()
    {
        return runPistachiofall({"rules", "show", "--store", platform.address()});
    }

    CommandRun apply(const std::string &text, const std::string &author,
                     const std::vector<std::string> &more = {})
    {
        const TemporaryFile file(text);
        std::vector<std::string> arguments{
                "rules", "apply", file.path(), "--store", platform.address(), "--author", author};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return runPistachiofall(arguments);
    }

    /// Like apply, but safe to call from several threads.
    CommandRun applyText(const std::string &text, const std::string &author)
    {
        StoreSettings settings;
        settings.address = platform.address();
        const auto session = valueOf(StoreSession::create(settings));
        const ApplyRequest request{valueOf(parseRuleFile(text)),
                                   valueOf(makeChangeOrigin(author, session->clock().wallNow())),
                                   std::nullopt};
        return testing::collectOutput([&] { return applyRules(*session, request); });
    }
};

// Guards against output of "rules show" that "rules apply" rejects.
TEST(RulesCommands, ShownRulesCanBeEditedAndApplied)
{
    STRCMP_EQUAL("# version 0\n", show().out.c_str());
    CHECK_EQUAL(0, apply(Organisation, "Ana").exitCode);
    const std::string shown = show().out;
    STRCMP_CONTAINS("# version 1\n# applied by Ana at 20", shown.c_str());
    STRCMP_CONTAINS(Organisation, shown.c_str());
    const CommandRun same = apply(shown, "Bo");
    CHECK_EQUAL(0, same.exitCode);
    STRCMP_EQUAL("version 1 is in force and equals the file\n", same.out.c_str());
    const CommandRun changed = apply(shown + Domain, "Bo");
    CHECK_EQUAL(0, changed.exitCode);
    STRCMP_EQUAL((std::string("version 2 is in force; it changed:\n+ ") + Domain).c_str(),
                 changed.out.c_str());
    const TemporaryFile file(Domain);
    const CommandRun diff =
            runPistachiofall({"rules", "diff", file.path(), "--store", platform.address()});
    CHECK_EQUAL(0, diff.exitCode);
    STRCMP_EQUAL((std::string("- ") + Organisation).c_str(), diff.out.c_str());
}

// Guards against overwriting another operator's change, and against a conflict report that does not
// name the author and the change.
TEST(RulesCommands, AFileOfAnOlderVersionIsRefusedWithWhoAndWhat)
{
    CHECK_EQUAL(0, apply(Organisation, "Ana").exitCode);
    const std::string shown = show().out;
    CHECK_EQUAL(0, apply(shown + Domain, "Bo Lee").exitCode);
    const CommandRun late = apply(shown + Model, "Ana");
    CHECK_EQUAL(3, late.exitCode);
    STRCMP_CONTAINS(
            "nothing was applied: the file is based on version 1, and version 2 is in force",
            late.err.c_str());
    STRCMP_CONTAINS("version 2 was applied by Bo Lee at 20", late.err.c_str());
    STRCMP_CONTAINS((std::string(":\n+ ") + Domain).c_str(), late.err.c_str());
    STRCMP_CONTAINS((std::string("the file would change version 2 by:\n- ") + Domain + "+ " + Model)
                            .c_str(),
                    late.err.c_str());
    const CommandRun foreign = apply(std::string("# version 9\n") + Model, "Ana");
    CHECK_EQUAL(1, foreign.exitCode);
    STRCMP_CONTAINS("the store has version 2", foreign.err.c_str());
}

// Guards against two concurrent runs of "rules apply" that both report success.
TEST(RulesCommands, OneOfTwoConcurrentAppliesWins)
{
    for (int round = 0; round < 10; ++round) {
        const std::string base = "# version " + std::to_string(round) + "\n";
        const std::string reason = "round " + std::to_string(round) + "\n";
        const std::string ana = "domain a state=in # by Ana: " + reason;
        const std::string bo = "domain b state=in # by Bo: " + reason;
        auto running = std::async(std::launch::async, [&] { return applyText(base + ana, "Ana"); });
        const CommandRun second = applyText(base + bo, "Bo");
        const CommandRun first = running.get();
        CHECK_EQUAL(3, first.exitCode + second.exitCode);
        CHECK(first.exitCode == 0 || second.exitCode == 0);
        const CommandRun &loser = first.exitCode == 0 ? second : first;
        const std::string winner = first.exitCode == 0 ? "Ana" : "Bo";
        STRCMP_CONTAINS(("was applied by " + winner + " at").c_str(), loser.err.c_str());
        const std::string shown = show().out;
        STRCMP_CONTAINS(
                ("# version " + std::to_string(round + 1) + "\n# applied by " + winner).c_str(),
                shown.c_str());
        STRCMP_CONTAINS((winner == "Ana" ? ana : bo).c_str(), shown.c_str());
    }
}

// Guards against failing, or applying the change twice, when the response of the store is lost.
TEST(RulesCommands, ApplySurvivesALostAnswer)
{
    platform.control(verb::post, "/control?lose-answers=1");
    const CommandRun run = apply(Organisation, "Ana");
    CHECK_EQUAL(0, run.exitCode);
    STRCMP_CONTAINS("# version 1\n", show().out.c_str());
    platform.control(verb::post, "/control?mode=down");
    const CommandRun down = apply(Domain, "Ana");
    CHECK_EQUAL(1, down.exitCode);
    STRCMP_CONTAINS("nothing was applied", down.err.c_str());
}

// Guards against --wait returning while an instance still has an older version.
TEST(RulesCommands, WaitReturnsWhenAllInstancesHaveTheVersion)
{
    const auto port = platform.startServer(
            [&](standins::HttpExchange &exchange) -> boost::asio::awaitable<void> {
                // The first three queries return the old version, so one instance lags behind.
                const int version = answers.fetch_add(1) < 3 ? 0 : 1;
                co_await exchange.respond(200, "application/json",
                                          "{\"rulesVersion\":" + std::to_string(version) + "}");
            });
    const std::string address = "127.0.0.1:" + std::to_string(port);
    for (const char *name : {"a-1", "b-1"})
        platform.control(verb::put,
                         "/control/instances/" + std::string(name)
                                 + "?failure-domain=a&peer=127.0.0.1:1&admin=" + address);
    const CommandRun run = apply(Organisation, "Ana", {"--wait"});
    CHECK_EQUAL(0, run.exitCode);
    STRCMP_CONTAINS("all 2 listed instances have version 1", run.out.c_str());
    CHECK(answers.load() >= 4);
    const CommandRun late = apply(Domain, "Ana", {"--wait", "--wait-timeout-ms", "300"});
    CHECK_EQUAL(1, late.exitCode);
    STRCMP_CONTAINS(
            "version 2 is in force, but not yet confirmed everywhere; missing: a-1 (version "
            "1); b-1 (version 1)",
            late.err.c_str());
}

// Guards against applying a file with errors, and against errors without file and line.
TEST(RulesCommands, FaultsAreReportedWithFileAndLine)
{
    const TemporaryFile bad("organisation a rate=0 burst=1 # by A: x\nkey k\n");
    const CommandRun check = runPistachiofall({"rules", "check", bad.path()});
    CHECK_EQUAL(1, check.exitCode);
    STRCMP_CONTAINS((bad.path() + ": line 1, column 21: rate '0'").c_str(), check.err.c_str());
    STRCMP_CONTAINS((bad.path() + ": line 2, column 6: missing field").c_str(), check.err.c_str());
    CHECK_EQUAL(1, apply("nonsense", "Ana").exitCode);
    STRCMP_EQUAL("# version 0\n", show().out.c_str());
    const TemporaryFile good(Organisation);
    const CommandRun passed = runPistachiofall({"rules", "check", good.path()});
    CHECK_EQUAL(0, passed.exitCode);
    CHECK_EQUAL(1, runPistachiofall({"rules", "check", "/nowhere/rules"}).exitCode);
}

// Guards against giving a usage error the exit code of a rejected file, which scripts distinguish.
TEST(RulesCommands, UsageErrorsHaveTheirOwnExitCode)
{
    const TemporaryFile good(Organisation);
    for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>>{
                 {},
                 {"rules"},
                 {"rules", "erase"},
                 {"rules", "check"},
                 {"rules", "check", good.path(), "extra"},
                 {"rules", "show"},
                 {"rules", "show", "--store", "localhost:1"},
                 {"rules", "show", "--store", "127.0.0.1:1", "--settings", "f"},
                 {"rules", "apply", good.path(), "--store", "127.0.0.1:1", "--author", "A:B"},
                 {"rules", "apply", good.path(), "--store", "127.0.0.1:1", "--wait-timeout-ms",
                  "x"},
                 {"rules", "apply", good.path(), "--store", "127.0.0.1:1", "--wait-timeout-ms",
                  "-1"},
                 {"key", "new", "--id", "k"}}) {
        const CommandRun run = runPistachiofall(arguments);
        CHECK_EQUAL_TEXT(2, run.exitCode, run.out.c_str());
        CHECK_FALSE(run.err.empty());
    }
    CHECK_EQUAL(0, runPistachiofall({"--help"}).exitCode);
    CHECK_EQUAL(0, runPistachiofall({"rules", "apply", "--help"}).exitCode);
}

// Guards against ignoring the namespace or the address in the settings file.
TEST(RulesCommands, TheStoreCanComeFromASettingsFile)
{
    CHECK_EQUAL(0, apply(Organisation, "Ana", {"--namespace", "other"}).exitCode);
    const TemporaryFile settings("[instance]\nname = 'a-1'\nfailure_domain = 'a'\nregion = 'r'\n"
                                 "[listen]\ncallers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\n"
                                 "peers = '127.0.0.1:0'\n[store]\nnamespace = 'other'\naddress = '"
                                 + platform.address() + "'\n");
    const CommandRun run = runPistachiofall({"rules", "show", "--settings", settings.path()});
    STRCMP_CONTAINS("# version 1\n", run.out.c_str());
    STRCMP_EQUAL("# version 0\n", show().out.c_str());
    const TemporaryFile bad("[instance]\n");
    CHECK_EQUAL(1, runPistachiofall({"rules", "show", "--settings", bad.path()}).exitCode);
}

// Guards against printing a rule line that does not match the key.
TEST(RulesCommands, ANewKeyWorksWithItsLine)
{
    const CommandRun run = runPistachiofall({"key", "new", "--id", "k1", "--organisation", "acme"});
    CHECK_EQUAL(0, run.exitCode);
    const auto end = run.out.find('\n');
    const auto file = parseRuleFile(Organisation + run.out.substr(end + 1));
    CHECK(isOk(file));
    CHECK(isOk(checkKey(*valueOf(file).rules, run.out.substr(0, end))));
    CHECK_EQUAL(1, runPistachiofall({"key", "new", "--id", "k 1", "--organisation", "a"}).exitCode);
}
