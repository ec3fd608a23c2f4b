#include "settings/loadfleetsettings.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(LoadFleetSettings){};

// Guards against a key that is read into the wrong field.
TEST(LoadFleetSettings, ReadsAll)
{
    const auto settings = parseFleetSettings(R"([instance]
name = "gateway-1"
failure_domain = "east-a"
[listen]
callers = "127.0.0.1:80"
ready = "127.0.0.1:81"
peers = "127.0.0.1:82"
[store]
address = "127.0.0.1:83"
call_timeout_ms = 700
max_object_bytes = 65536
[fleet]
seeds = ["127.0.0.2:82"]
quota_window_ms = 5000
stop_grace_ms = 8000
summarise_usage = true
share_failures = true
learn_speeds = true
fair_shares = true
room_for_peaks = true
[rollouts]
max_exposure = 0.2
rollback_ms = 4000
)",
                                             "test");
    CHECK(isOk(settings));
    CHECK_EQUAL(std::string("east-a"), valueOf(settings).failureDomain);
    LONGS_EQUAL(80, valueOf(settings).callers->port());
    LONGS_EQUAL(1, valueOf(settings).seeds.size());
    CHECK(valueOf(settings).store.callTimeout == std::chrono::milliseconds{700});
    LONGS_EQUAL(65536, valueOf(settings).maxObjectBytes);
    CHECK(valueOf(settings).stopGrace == std::chrono::seconds{8});
    CHECK(valueOf(settings).summarisesUsage);
    CHECK(valueOf(settings).sharesFailures);
    CHECK(valueOf(settings).learnsSpeeds);
    CHECK(valueOf(settings).sharesRoomFairly);
    CHECK(valueOf(settings).leavesRoomForPeaks);
    CHECK(valueOf(settings).rollouts.has_value());
    DOUBLES_EQUAL(0.2, valueOf(settings).rollouts->maxExposure, 0);
    CHECK(valueOf(settings).rollouts->rollbackTime == std::chrono::seconds{4});
}

// Guards against a process that takes the memory of the whole machine for its own, when the
// settings name none: answers without end then end it.
TEST(LoadFleetSettings, MemoryIsBoundedByDefault)
{
    const auto settings = parseFleetSettings(R"([instance]
name = "gateway-1"
failure_domain = "east-a"
[listen]
peers = "127.0.0.1:82"
[store]
address = "127.0.0.1:83"
)",
                                             "test");
    CHECK(isOk(settings));
    CHECK(valueOf(settings).memoryBytes <= FleetSettings::DefaultMemoryBytes);
    CHECK(valueOf(settings).memoryBytes > 0);
    CHECK_FALSE(valueOf(settings).rollouts.has_value());
    CHECK_FALSE(valueOf(settings).summarisesUsage);
}

// Guards against error messages that do not show the rejected value.
TEST(LoadFleetSettings, NamesRejectedValues)
{
    const auto settings = parseFleetSettings(R"([instance]
name = "gateway-1"
failure_domain = "east-a"
[listen]
peers = "here:82"
[store]
address = "127.0.0.1:83"
[surprise]
)",
                                             "test");
    CHECK_FALSE(isOk(settings));
    STRCMP_CONTAINS("here:82", errorOf(settings).message.c_str());
    STRCMP_CONTAINS("surprise", errorOf(settings).message.c_str());
}
