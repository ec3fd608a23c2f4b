#include "cli/applyrules.h"

#include "cli/conflictreport.h"
#include "cli/exitcode.h"
#include "cli/parsearguments.h"
#include "cli/waitforversion.h"
#include "node/rulesstore.h"
#include "rules/ruledifference.h"

#include <iostream>

namespace pistachiofall {

namespace {

/// Long enough to retry through a short outage of the store.
constexpr std::chrono::milliseconds CommitTimeout{10'000};

int reportConflict(StoreSession &session, std::uint64_t baseVersion, const RuleSet &wanted)
{
    const auto current = session.run(readRules(session.store(), {}));
    if (!isOk(current))
        std::cerr << "nothing was applied: another change was applied meanwhile; the rules in "
                     "force cannot be read: "
                  << errorOf(current).message << '\n';
    else
        std::cerr << describeConflict(baseVersion, valueOf(current).snapshot, wanted);
    return ExitConflict;
}

int waitForAllInstances(StoreSession &session, std::uint64_t version, const ApplyRequest &request)
{
    if (!request.wait)
        return ExitDone;
    const auto count = waitForVersion(session, version, *request.wait);
    if (!isOk(count))
        return reportFailure("version " + std::to_string(version)
                             + " is in force, but not yet confirmed everywhere; missing: "
                             + errorOf(count).message);
    std::cout << "all " << valueOf(count) << " listed instances have version " << version << '\n';
    return ExitDone;
}

int commit(StoreSession &session, const StoredRules &current, const RulesChange &change,
           const ApplyRequest &request)
{
    const auto committed = session.run(commitRules(session.store(), session.clock(), change,
                                                   current.objectVersion, CommitTimeout));
    if (!isOk(committed) && errorOf(committed).code == ErrorCode::Conflict)
        return reportConflict(session, current.head.version, *request.file.rules);
    if (!isOk(committed))
        return reportFailure(errorOf(committed).message);
    std::cout << "version " << change.head.version << " is in force; it changed:\n"
              << formatDifference(change.delta->removed, change.delta->added);
    // Failures are ignored: segments that are left over are removed after a later change.
    if (!change.segments.empty())
        session.run(removeUnusedSegments(session.store(), change.head));
    return waitForAllInstances(session, change.head.version, request);
}

} // namespace

int applyRules(StoreSession &session, const ApplyRequest &request)
{
    const auto current = session.run(readRules(session.store(), {}));
    if (!isOk(current))
        return reportFailure("nothing was applied: the rules in force cannot be read: "
                             + errorOf(current).message);
    const std::uint64_t version = valueOf(current).head.version;
    const std::uint64_t base = request.file.baseVersion.value_or(version);
    if (base > version)
        return reportFailure("nothing was applied: the file is based on version "
                             + std::to_string(base) + ", and the store has version "
                             + std::to_string(version) + "; accepted: a file from this store");
    if (base < version) {
        std::cerr << describeConflict(base, valueOf(current).snapshot, *request.file.rules);
        return ExitConflict;
    }
    const auto change = planChange(valueOf(current).head, valueOf(current).snapshot,
                                   *request.file.rules, request.origin);
    if (!isOk(change))
        return reportFailure("nothing was applied: " + errorOf(change).message);
    if (!valueOf(change)) {
        std::cout << "version " << version << " is in force and equals the file\n";
        return waitForAllInstances(session, version, request);
    }
    return commit(session, valueOf(current), *valueOf(change), request);
}

} // namespace pistachiofall
