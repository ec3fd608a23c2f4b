#include "cli/keyfile.h"

#include "commandrun.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using testing::TemporaryFile;

TEST_GROUP(KeyFile){};

// Guards against keeping the line ending as part of the key, which instances reject.
TEST(KeyFile, ReadsTheFirstLine)
{
    const TemporaryFile file("pf_k1_00ff \r\nnot this\n");
    STRCMP_EQUAL("pf_k1_00ff", valueOf(readKeyFile(file.path())).c_str());
    STRCMP_EQUAL("pf_k1_00ff", valueOf(resolveKeyArgument("@" + file.path())).c_str());
    STRCMP_EQUAL("pf_k2_11", valueOf(resolveKeyArgument("pf_k2_11")).c_str());
}

// Guards against sending requests with an empty key, or with the file name as the key.
TEST(KeyFile, ReportsAFileWithoutAKey)
{
    const TemporaryFile empty("\npf_k1_00ff\n");
    CHECK(errorOf(readKeyFile(empty.path())).code == ErrorCode::InvalidArgument);
    CHECK(errorOf(resolveKeyArgument("@/nowhere/key")).code == ErrorCode::NotFound);
}
