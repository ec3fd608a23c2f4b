#include "cli/commands.h"

#include "cli/callerapi.h"
#include "cli/exitcode.h"
#include "cli/keyfile.h"
#include "cli/parsearguments.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

namespace pistachiofall {

namespace {

using TextArgument = TCLAP::ValueArg<std::string>;

// The time between two status queries of "job status --wait".
constexpr std::chrono::milliseconds PollInterval{500};

/// The options that all job commands share.
struct JobArguments
{
    explicit JobArguments(const char *description)
        : commandLine(description, ' ', VersionHint)
        , address("a", "address", "The callers' listener of an instance.", true, "", "IP:PORT",
                  commandLine)
        , key("k", "key", "The key of the organisation; @FILE reads it from a file.", true, "",
              "KEY", commandLine)
    { }

    TCLAP::CmdLine commandLine;
    TextArgument address;
    TextArgument key;
};

Result<CallerApiRequest> makeRequest(JobArguments &arguments)
{
    auto address = SocketAddress::parse(arguments.address.getValue());
    if (!isOk(address))
        return errorOf(address);
    auto key = resolveKeyArgument(arguments.key.getValue());
    if (!isOk(key))
        return errorOf(key);
    return CallerApiRequest{valueOf(std::move(address)), "GET", "",
                            valueOf(std::move(key)),     "",    ""};
}

Result<std::string> call(const CallerApiRequest &request)
{
    std::string answer;
    const auto done = callCallerApi(request, [&](std::string_view bytes) { answer += bytes; });
    if (!isOk(done))
        return errorOf(done);
    return answer;
}

std::string stringField(const std::string &answer, const char *name)
{
    boost::system::error_code ignored;
    const auto parsed = boost::json::parse(answer, ignored);
    const auto *object = parsed.if_object();
    const auto *value = object != nullptr ? object->if_contains(name) : nullptr;
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

// Parses the arguments of a command for one job, and runs it with the request and the job id.
int runForJob(JobArguments &arguments, const CommandArguments &commandArguments,
              const std::function<int(CallerApiRequest, const std::string &)> &run)
{
    TCLAP::UnlabeledValueArg<std::string> job("job", "The id of the job.", true, "", "JOB",
                                              arguments.commandLine);
    if (const auto exitCode = parseArguments(arguments.commandLine, commandArguments))
        return *exitCode;
    auto request = makeRequest(arguments);
    if (!isOk(request))
        return reportUsageError(commandArguments, errorOf(request).message);
    return run(valueOf(std::move(request)), job.getValue());
}

} // namespace

int runJobSubmit(const CommandArguments &arguments)
{
    JobArguments common("Submits a batch job and prints its id. Sending it again with the same "
                        "idempotency key finds the same job.");
    TextArgument idempotencyKey("i", "idempotency-key", "Names the job, so that a resend finds it.",
                                true, "", "TEXT", common.commandLine);
    TCLAP::ValueArg<unsigned> due("d", "due-in-seconds", "When the job is due.", false, 24 * 3600,
                                  "N", common.commandLine);
    TCLAP::UnlabeledValueArg<std::string> file("file", "The items as JSON lines.", true, "", "FILE",
                                               common.commandLine);
    if (const auto exitCode = parseArguments(common.commandLine, arguments))
        return *exitCode;
    auto request = makeRequest(common);
    if (!isOk(request))
        return reportUsageError(arguments, errorOf(request).message);
    std::ifstream input(file.getValue(), std::ios::binary);
    if (!input)
        return reportFailure("cannot read '" + file.getValue() + "'");
    CallerApiRequest submit = valueOf(std::move(request));
    submit.method = "POST";
    submit.target = "/v1/batches?due_in_seconds=" + std::to_string(due.getValue());
    submit.idempotencyKey = idempotencyKey.getValue();
    submit.body.assign(std::istreambuf_iterator<char>(input), {});
    const auto answer = call(submit);
    if (!isOk(answer))
        return reportFailure(errorOf(answer).message);
    std::cout << stringField(valueOf(answer), "id") << '\n';
    return ExitDone;
}

int runJobStatus(const CommandArguments &arguments)
{
    JobArguments common("Prints the state of a batch job as JSON.");
    TCLAP::SwitchArg wait("w", "wait", "Wait until the job is done or cancelled.",
                          common.commandLine);
    return runForJob(common, arguments, [&](CallerApiRequest request, const std::string &job) {
        request.target = "/v1/batches/" + job;
        for (;;) {
            const auto answer = call(request);
            if (!isOk(answer))
                return reportFailure(errorOf(answer).message);
            if (!wait.getValue() || stringField(valueOf(answer), "state") != "open") {
                std::cout << valueOf(answer);
                return static_cast<int>(ExitDone);
            }
            std::this_thread::sleep_for(PollInterval);
        }
    });
}

int runJobResults(const CommandArguments &arguments)
{
    JobArguments common("Prints the results of a batch job as JSON lines.");
    return runForJob(common, arguments, [](CallerApiRequest request, const std::string &job) {
        request.target = "/v1/batches/" + job + "/results";
        const auto done =
                callCallerApi(request, [](std::string_view bytes) { std::cout << bytes; });
        if (!isOk(done))
            return reportFailure(errorOf(done).message);
        return static_cast<int>(ExitDone);
    });
}

int runJobCancel(const CommandArguments &arguments)
{
    JobArguments common("Cancels a batch job. No item starts more than 3 s after the answer.");
    return runForJob(common, arguments, [](CallerApiRequest request, const std::string &job) {
        request.method = "POST";
        request.target = "/v1/batches/" + job + "/cancel";
        const auto answer = call(request);
        if (!isOk(answer))
            return reportFailure(errorOf(answer).message);
        std::cout << valueOf(answer);
        return static_cast<int>(ExitDone);
    });
}

} // namespace pistachiofall
