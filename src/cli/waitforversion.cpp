#include "cli/waitforversion.h"

#include "cli/fetchrulesversion.h"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

using Versions = std::vector<Result<std::uint64_t>>;

constexpr std::chrono::milliseconds PollInterval{100};
constexpr std::chrono::milliseconds StatusTimeout{1000};

/// Fetches the rule versions of all instances in parallel.
Versions fetchAllVersions(StoreSession &session, const InstanceList &list,
                          std::chrono::milliseconds timeout)
{
    Versions versions(list.instances.size(), Error{ErrorCode::Unavailable, "no answer"});
    std::size_t pending = versions.size();
    asio::io_context &context = session.context();
    context.restart();
    for (std::size_t index = 0; index < versions.size(); ++index) {
        asio::co_spawn(
                context, fetchRulesVersion(list.instances[index].adminAddress, timeout),
                [&, index](const std::exception_ptr &failure, Result<std::uint64_t> version) {
                    if (!failure)
                        versions[index] = std::move(version);
                    if (--pending == 0)
                        context.stop();
                });
    }
    if (pending > 0)
        context.run();
    return versions;
}

/// Lists the instances that do not have the version, with the reasons; empty if all have it.
std::string describeMissing(const InstanceList &list, const Versions &versions,
                            std::uint64_t version)
{
    std::string text;
    for (std::size_t index = 0; index < versions.size(); ++index) {
        const auto &found = versions[index];
        if (isOk(found) && valueOf(found) >= version)
            continue;
        text += text.empty() ? "" : "; ";
        text += list.instances[index].name + " ("
                + (isOk(found) ? "version " + std::to_string(valueOf(found))
                               : errorOf(found).message)
                + ")";
    }
    return text;
}

} // namespace

Result<std::size_t> waitForVersion(StoreSession &session, std::uint64_t version,
                                   std::chrono::milliseconds timeout)
{
    const auto deadline = session.clock().now() + timeout;
    std::string missing;
    for (;;) {
        const auto list = session.run(session.store()->instances());
        if (isOk(list)) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                    deadline - session.clock().now());
            const auto versions =
                    fetchAllVersions(session, valueOf(list),
                                     std::clamp(left, std::chrono::milliseconds{1}, StatusTimeout));
            missing = describeMissing(valueOf(list), versions, version);
            if (missing.empty())
                return versions.size();
        } else {
            missing = "the instance list: " + errorOf(list).message;
        }
        if (session.clock().now() + PollInterval >= deadline)
            return Error{ErrorCode::TimedOut, missing};
        asio::steady_timer timer(session.context(), PollInterval);
        timer.wait();
    }
}

} // namespace pistachiofall
