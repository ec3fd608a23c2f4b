#include "batch/contenthasher.h"
#include "batch/jobid.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(ContentHash){};

// Guards against a change of the hash function, after which stored objects would no longer be
// found.
TEST(ContentHash, IsAPrefixOfSha256)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223", hashOf("abc").hex().c_str());
    CHECK(ContentHash::fromHex(hashOf("abc").hex()) == hashOf("abc"));
    CHECK(ContentHash::fromRaw(hashOf("abc").raw()) == hashOf("abc"));
    CHECK(!ContentHash::fromHex("BA7816BF8F01CFEA414140DE5DAE2223"));
    CHECK(!ContentHash::fromHex("ba78"));
}

TEST(ContentHash, DependsOnTextBoundariesButNotOnPieces)
{
    ContentHasher pieces;
    pieces.add("a");
    pieces.add("bc");
    CHECK(pieces.finish() == hashOf("abc"));
    ContentHasher first;
    first.addText("ab");
    first.addText("c");
    ContentHasher second;
    second.addText("a");
    second.addText("bc");
    CHECK(!(first.finish() == second.finish()));
}

TEST_GROUP(JobId){};

// Guards against a resubmitted job that gets another id, and against two organisations whose jobs
// share an id.
TEST(JobId, FollowsFromOrganisationAndKey)
{
    CHECK(JobId::of("acme", "k1") == JobId::of("acme", "k1"));
    CHECK(!(JobId::of("acme", "k1") == JobId::of("acm", "ek1")));
    STRCMP_EQUAL("084c8ea23eb75beb", JobId::of("acme", "k1").toString().substr(0, 16).c_str());
    CHECK(JobId::parse(JobId::of("acme", "k1").toString()) == JobId::of("acme", "k1"));
    CHECK(!JobId::parse("../../etc"));
    CHECK(JobId::of("acme", "k1").shard(256) < 256);
}
