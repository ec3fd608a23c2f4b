#include "settings/loadsettings.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

namespace {

const std::string minimal = "[instance]\n"
                            "name = 'a-1'\n"
                            "failure_domain = 'east-a'\n"
                            "region = 'chaudiere'\n"
                            "[listen]\n"
                            "callers = '127.0.0.1:8080'\n"
                            "admin = '127.0.0.1:8081'\n"
                            "peers = '127.0.0.1:0'\n"
                            "[store]\n"
                            "address = '127.0.0.1:9000'\n";

} // namespace

TEST_GROUP(LoadSettings){
        /// Checks that parsing the text gives exactly these errors, one per line.
        static void checkErrors(const std::string &text, const std::string &errors){
                const auto settings = parseSettings(text, "f.toml");
STRCMP_EQUAL(errors.c_str(), isOk(settings) ? "" : errorOf(settings).message.c_str());
}
}
;

TEST(LoadSettings, FillsInDefaults)
{
    const auto loaded = parseSettings(minimal, "f.toml");
    STRCMP_EQUAL("", isOk(loaded) ? "" : errorOf(loaded).message.c_str());
    const Settings &settings = valueOf(loaded);
    STRCMP_EQUAL("east-a", settings.instance.failureDomain.c_str());
    CHECK_EQUAL(8081U, settings.listen.admin.port());
    STRCMP_EQUAL("127.0.0.1:9000", settings.store.address.c_str());
    STRCMP_EQUAL("pistachiofall", settings.store.nameSpace.c_str());
    CHECK_FALSE(settings.data.folder.has_value());
    CHECK(settings.deadlines.firstByte == milliseconds{30'000});
    CHECK_EQUAL(520'000U, settings.limits.maxBatchItems);
    CHECK(settings.objectives.tokenGap == milliseconds{28});
    CHECK_EQUAL(4U, settings.threads.count);
    CHECK_EQUAL(256U, settings.sharding.shards);
}

// Guards against a key that is read into the wrong field or not at all.
TEST(LoadSettings, ReadsEveryKey)
{
    const auto loaded = parseSettings(
            minimal
                    + "namespace = 'n'\ncall_timeout_ms = 11\n[data]\nfolder = '/d'\n[deadlines]\n"
                      "connect_ms = 1\nfirst_byte_ms = 2\nchunk_gap_ms = 3\nslot_wait_ms = 4\n"
                      "drain_ms = 5\nready_delay_ms = 6\n[limits]\nmax_body_bytes = 7\n"
                      "max_header_bytes = 2048\nmax_connections = 9\nmax_batch_items = 10\n"
                      "[objectives]\nfirst_token_ms = 12\ntoken_gap_ms = 13\navailability = 0.5\n"
                      "batch_on_time = 0.25\n[threads]\ncount = 14\n[sharding]\nshards = 15\n"
                      "[policy]\nselection = 'round_robin'\nlimits = 'local'\nbatch_priority = "
                      "'none'\nbatch_reserve = 'arrivals'\n[batch]\nretention_hours = 16\n"
                      "[rollout]\nmin_in_service = 0.625\nmax_loads = 17\n",
            "f.toml");
    STRCMP_EQUAL("", isOk(loaded) ? "" : errorOf(loaded).message.c_str());
    const Settings &s = valueOf(loaded);
    CHECK(s.store.nameSpace == "n" && s.store.callTimeout == milliseconds{11});
    CHECK(s.data.folder == "/d");
    CHECK(s.deadlines.connect == milliseconds{1} && s.deadlines.firstByte == milliseconds{2});
    CHECK(s.deadlines.chunkGap == milliseconds{3} && s.deadlines.slotWait == milliseconds{4});
    CHECK(s.deadlines.drain == milliseconds{5} && s.deadlines.readyDelay == milliseconds{6});
    CHECK(s.limits.maxBodyBytes == 7 && s.limits.maxHeaderBytes == 2048);
    CHECK(s.limits.maxConnections == 9 && s.limits.maxBatchItems == 10);
    CHECK(s.objectives.firstToken == milliseconds{12} && s.objectives.tokenGap == milliseconds{13});
    CHECK(s.objectives.availability == 0.5 && s.objectives.batchOnTime == 0.25);
    CHECK(s.threads.count == 14 && s.sharding.shards == 15);
    CHECK(s.policy.selection == SelectionKind::RoundRobin);
    CHECK(s.policy.limits == LimitKind::Local);
    CHECK(s.policy.batchPriority == BatchPriority::None);
    CHECK(s.policy.batchReserve == BatchReserveKind::Arrivals);
    CHECK(s.batch.retention == std::chrono::hours{16});
    CHECK(s.rollout.minInService == 0.625 && s.rollout.maxLoads == 17);
    const auto affinity = parseSettings(minimal + "[policy]\nselection = 'prefix_affinity'\n", "f");
    CHECK(valueOf(affinity).policy.selection == SelectionKind::PrefixAffinity);
}

// Guards against reporting only the first error or a wrong line.
TEST(LoadSettings, ReportsAllErrorsWithTheirLines)
{
    checkErrors(
            "[instance]\n"
            "name = 'a b'\n"
            "region = 3\n"
            "zone = 'x'\n"
            "[listen]\n"
            "callers = 'localhost:80'\n"
            "admin = '127.0.0.1:81'\n"
            "peers = '127.0.0.1:81'\n"
            "[deadlines]\n"
            "connect_ms = 0\n"
            "drain_ms = '5'\n"
            "[objectives]\n"
            "availability = 1.0\n"
            "[theads]\n",
            "f.toml:1: missing key 'failure_domain' in [instance]\n"
            "f.toml:1: missing key 'address' in [store]\n"
            "f.toml:2: [instance] name 'a b' is not accepted; accepted: up to 64 letters, digits, "
            "'.', '_' and '-', a letter or digit first\n"
            "f.toml:3: [instance] region '3' is not accepted; accepted: up to 64 letters, digits, "
            "'.', '_' and '-', a letter or digit first, in quotes\n"
            "f.toml:4: unknown key 'zone' in [instance]; accepted: name, failure_domain, region\n"
            "f.toml:6: [listen] callers 'localhost:80' is not accepted; accepted: a string "
            "IP:PORT\n"
            "f.toml:8: [listen] peers is the address of another listener; accepted: a different "
            "address\n"
            "f.toml:10: [deadlines] connect_ms '0' is not accepted; accepted: an integer from "
            "1 to 3600000\n"
            "f.toml:11: [deadlines] drain_ms '5' is not accepted; accepted: an integer from 0 "
            "to 3600000, without quotes\n"
            "f.toml:13: [objectives] availability '1.0' is not accepted; accepted: a number above "
            "0 and below 1\n"
            "f.toml:14: unknown section 'theads'; accepted: instance, listen, store, data, "
            "deadlines, limits, objectives, threads, sharding, policy, batch, rollout");
}

// Guards against values of a wrong type or form that are silently replaced by the default.
TEST(LoadSettings, RejectsWrongTypesAndShapes)
{
    const auto count = [](const std::string &value) {
        return "f.toml:12: [threads] count '" + value
                + "' is not accepted; accepted: an integer from 1 to 256";
    };
    for (const char *value : {"1.5", "-1", "257", "true", "[ 4 ]"})
        checkErrors(minimal + "[threads]\ncount = " + value, count(value));
    checkErrors("threads = 4\n" + minimal,
                "f.toml:1: threads is not a section; accepted: [threads]");
    checkErrors(minimal + "[data]\nfolder = ''",
                "f.toml:12: [data] folder '' is not accepted; accepted: a non-empty string");
    checkErrors(minimal + "namespace = 'x'\nnamespace = 'y'",
                "f.toml:12: Error while parsing key-value pair: cannot redefine existing string "
                "'namespace'");
    const std::string words = "accepted: 'power_of_two', 'round_robin', 'prefix_affinity'";
    checkErrors(minimal + "[policy]\nselection = 'random'",
                "f.toml:12: [policy] selection 'random' is not accepted; " + words);
    checkErrors(minimal + "[policy]\nselection = 2",
                "f.toml:12: [policy] selection '2' is not accepted; " + words + ", in quotes");
    const auto missing = loadSettings("/nowhere/f.toml");
    CHECK_FALSE(isOk(missing));
    STRCMP_EQUAL("settings file '/nowhere/f.toml' cannot be read",
                 errorOf(missing).message.c_str());
}
