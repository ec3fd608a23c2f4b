#include "cli/pagefetch.h"

#include "http/endpointclient.h"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxPageBytes = std::size_t{64} << 20U;

asio::awaitable<void> readPage(std::shared_ptr<EndpointCall> call, Result<std::string> &result)
{
    const CallResult<AnswerHead> head = co_await call->send();
    if (!isOk(head)) {
        result = failureOf(head).error;
        co_return;
    }
    if (valueOf(head).status != 200) {
        result = Error{ErrorCode::Unavailable,
                       "answered with status " + std::to_string(valueOf(head).status)};
        co_return;
    }
    CallResult<std::string> body = co_await call->readAll(MaxPageBytes);
    if (isOk(body))
        result = valueOf(std::move(body));
    else
        result = failureOf(body).error;
}

} // namespace

std::vector<FetchedPage> fetchPages(const InstanceList &instances, const std::string &target,
                                    std::chrono::milliseconds timeout)
{
    MetricsRegistry metrics;
    std::vector<FetchedPage> pages;
    std::size_t pending = 0;
    asio::io_context context;
    for (const ListedInstance &instance : instances.instances)
        pages.push_back({instance, Error{ErrorCode::TimedOut, "no answer in time"}});
    const auto client = EndpointClient::create(context.get_executor(), {}, metrics);
    auto request = std::make_shared<EndpointRequest>();
    request->method = "GET";
    request->target = target;
    CallOptions options;
    options.connectTimeout = timeout;
    options.firstByteTimeout = timeout;
    options.gapTimeout = timeout;
    // Stops the context explicitly, because idle connections of the client keep it running.
    const auto onCallEnded = [&context, &pending](const std::exception_ptr &) {
        if (--pending == 0)
            context.stop();
    };
    for (FetchedPage &fetched : pages) {
        const auto address = SocketAddress::parse(fetched.instance.adminAddress);
        if (!isOk(address)) {
            fetched.page = errorOf(address);
            continue;
        }
        auto call = client->prepare(valueOf(address), request, options);
        ++pending;
        asio::co_spawn(context, readPage(std::move(call), fetched.page), onCallEnded);
    }
    if (pending > 0)
        context.run_for(timeout);
    return pages;
}

} // namespace pistachiofall
