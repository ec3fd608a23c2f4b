#include "platform/objectformat.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(ObjectFormat){};

// Guards against a conditional write that loses its revision when the object is encoded or decoded.
TEST(ObjectFormat, RoundTripsObjects)
{
    SpaceObject object;
    object.name = "job-1";
    object.revision = 412;
    object.spec = boost::json::object{{"a", 1}};
    object.status = "done";
    const auto decoded = platform::decodeObject(platform::encodeObject(object));
    CHECK(isOk(decoded));
    LONGS_EQUAL(412, valueOf(decoded).revision);
    CHECK(valueOf(decoded).spec == object.spec);
    CHECK(valueOf(decoded).status == object.status);
}

// Guards against a page or a list of changes that is mistaken for another response.
TEST(ObjectFormat, DecodesPagesAndChanges)
{
    const auto page = platform::decodeListing(
            R"({"items":[{"metadata":{"name":"a","rev":5}},{"spec":1}],"has_more":true,
                "current_rev":9})");
    CHECK(isOk(page));
    LONGS_EQUAL(1, valueOf(page).objects.size());
    CHECK(valueOf(page).hasMore);
    LONGS_EQUAL(9, valueOf(page).revision);
    const auto changes = platform::decodeChanges(
            R"({"events":[{"tombstone":true,"object":{"metadata":{"name":"a"}}}],
                "current_rev":11})");
    CHECK(isOk(changes));
    CHECK(valueOf(changes).events[0].isRemoved);
    LONGS_EQUAL(11, valueOf(changes).revision);
    CHECK_FALSE(isOk(platform::decodeListing("{}")));
    CHECK_FALSE(isOk(platform::decodeChanges("{}")));
    CHECK_FALSE(isOk(platform::decodeObject("<html>")));
}
