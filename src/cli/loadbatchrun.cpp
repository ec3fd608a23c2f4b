#include "cli/loadbatchrun.h"

#include "cli/callerapi.h"

#include <algorithm>
#include <random>
#include <thread>

#include <boost/json.hpp>

namespace pistachiofall {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds PollInterval{250};

std::string makeItems(const LoadBatch &batch)
{
    std::string lines;
    const std::string prompt(batch.promptBytes, 'p');
    for (std::size_t i = 0; i < batch.items; ++i) {
        const json::array messages{
                json::object{{"role", "user"}, {"content", std::to_string(i) + ' ' + prompt}}};
        const json::object body{
                {"model", batch.model}, {"max_tokens", batch.maxTokens}, {"messages", messages}};
        lines += json::serialize(
                json::object{{"custom_id", "item-" + std::to_string(i)}, {"body", body}});
        lines += '\n';
    }
    return lines;
}

Result<json::object> callForJson(const CallerApiRequest &request)
{
    std::string answer;
    const auto done = callCallerApi(request, [&](std::string_view bytes) { answer += bytes; });
    if (!isOk(done))
        return errorOf(done);
    boost::system::error_code failure;
    const json::value parsed = json::parse(answer, failure);
    if (failure || !parsed.is_object())
        return Error{ErrorCode::Unavailable, "the answer is not a JSON object"};
    return parsed.get_object();
}

std::uint64_t numberField(const json::object &status, const char *name)
{
    const json::value *value = status.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

std::string stringField(const json::object &status, const char *name)
{
    const json::value *value = status.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

// A random key prevents a run from finding the jobs of an earlier run on the same store.
std::string newIdempotencyKey()
{
    std::random_device random;
    return "load-" + std::to_string(random()) + "-" + std::to_string(random());
}

} // namespace

LoadBatchResult runLoadBatch(const LoadBatch &batch, const SocketAddress &address,
                             steady_clock::time_point start, steady_clock::time_point until)
{
    LoadBatchResult result;
    const auto intendedSubmission = start + batch.begin;
    CallerApiRequest submit{address, "POST", "", batch.key, newIdempotencyKey(), makeItems(batch)};
    submit.target = "/v1/batches?due_in_seconds=" + std::to_string(batch.dueIn.count());
    std::this_thread::sleep_until(intendedSubmission);
    const auto accepted = callForJson(submit);
    if (!isOk(accepted)) {
        result.error = errorOf(accepted).message;
        return result;
    }
    result.total = batch.items;
    CallerApiRequest statusRequest{address, "GET", "", batch.key, "", ""};
    statusRequest.target = "/v1/batches/" + stringField(valueOf(accepted), "id");
    while (steady_clock::now() < until) {
        const auto status = callForJson(statusRequest);
        const auto now = steady_clock::now();
        if (isOk(status)) {
            result.done = numberField(valueOf(status), "done");
            result.failed = numberField(valueOf(status), "failed");
            if (now <= std::min(intendedSubmission + batch.dueIn, until))
                result.doneWhenDue = result.done;
            if (stringField(valueOf(status), "state") != "open") {
                result.timeToEnd =
                        std::chrono::duration_cast<milliseconds>(now - intendedSubmission);
                return result;
            }
        }
        std::this_thread::sleep_until(std::min(now + PollInterval, until));
    }
    return result;
}

} // namespace pistachiofall
