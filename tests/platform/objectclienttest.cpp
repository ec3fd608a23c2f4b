#include "platform/objectclient.h"

#include "base/systemclock.h"
#include "common/listener.h"
#include "support/joined.h"

#include <array>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

namespace {

std::string answer(const std::string &name, int revision)
{
    const std::string body = R"({"metadata":{"name":")" + name + R"(","rev":)"
            + std::to_string(revision) + R"(},"spec":{"of":")" + name + R"("}})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A store that keeps its connections and answers the requests on each with prepared bytes in turn.
class ScriptedStore
{
public:
    using Script = std::vector<std::string>;

    ScriptedStore(const boost::asio::any_io_executor &executor, std::vector<Script> connections)
        : m_acceptor(valueOf(standins::openListener(executor, "127.0.0.1:0")))
    {
        boost::asio::co_spawn(executor, accept(m_acceptor, std::move(connections)),
                              boost::asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor->local_endpoint().port());
    }

private:
    using Acceptor = std::shared_ptr<boost::asio::ip::tcp::acceptor>;

    static boost::asio::awaitable<void> accept(Acceptor acceptor, std::vector<Script> connections)
    {
        const auto executor = acceptor->get_executor();
        for (Script &script : connections) {
            auto socket = co_await acceptor->async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(executor, serve(std::move(socket), std::move(script)),
                                  boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, Script script)
    {
        std::array<char, 4096> buffer{};
        for (const std::string &bytes : script) {
            boost::system::error_code error;
            co_await socket.async_read_some(
                    boost::asio::buffer(buffer),
                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error)
                co_return;
            co_await boost::asio::async_write(
                    socket, boost::asio::buffer(bytes),
                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }

    Acceptor m_acceptor;
};

} // namespace

TEST_GROUP(ObjectClient)
{
    boost::asio::io_context context;
    SystemClock clock;
    MetricsRegistry metrics;

    std::shared_ptr<platform::ObjectClient> connect(const ScriptedStore &store)
    {
        StoreSettings settings;
        settings.address = store.address();
        settings.callTimeout = milliseconds{500};
        return valueOf(
                platform::ObjectClient::create(context.get_executor(), settings, clock, metrics));
    }

    template<typename T>
    Result<T> await(ObjectSpace::Async<T> operation)
    {
        auto result = boost::asio::co_spawn(context, std::move(operation), boost::asio::use_future);
        while (result.wait_for(milliseconds{0}) != std::future_status::ready)
            context.run_one();
        return result.get();
    }

    static SpaceObject named(const std::string &name)
    {
        SpaceObject object;
        object.name = name;
        return object;
    }
};

// Guards against an answer that comes a second time, on a connection that is in use again, and is
// taken for that to the next call.
TEST(ObjectClient, ASecondCopyOfAnAnswerIsNotThatOfTheNextRead)
{
    const ScriptedStore store(
            context.get_executor(),
            {{answer("one", 5), answer("one", 5) + answer("two", 6)}, {answer("two", 6)}});
    const auto client = connect(store);
    CHECK(isOk(await(client->get("jobs", "one"))));
    const auto second = await(client->get("jobs", "two"));
    CHECK_FALSE(isOk(second));
    CHECK(errorOf(second).code == ErrorCode::ProtocolError);
    // The connection that is out of step is not used again.
    const auto third = await(client->get("jobs", "two"));
    CHECK(isOk(third));
    STRCMP_EQUAL("two", valueOf(third).name.c_str());
}

// The same for a write, of which it is not known whether it was applied.
TEST(ObjectClient, ASecondCopyOfAnAnswerDoesNotAcknowledgeTheNextWrite)
{
    const ScriptedStore store(context.get_executor(), {{answer("one", 5), answer("one", 5)}});
    const auto client = connect(store);
    CHECK(isOk(await(client->replaceStatus("jobs", named("one")))));
    const auto second = await(client->replaceStatus("jobs", named("two")));
    CHECK_FALSE(isOk(second));
    CHECK(errorOf(second).code == ErrorCode::OutcomeUnknown);
}

// Guards against an answer whose head or body stops in the middle and that is taken for whole.
TEST(ObjectClient, AnAnswerThatStopsInTheMiddleIsNone)
{
    const std::string whole = answer("one", 5);
    for (const std::size_t length :
         {std::size_t{5}, std::size_t{17}, whole.find("\r\n\r\n") + 2, whole.size() - 1}) {
        const ScriptedStore store(context.get_executor(), {{whole.substr(0, length)}});
        const auto client = connect(store);
        const auto read = await(client->get("jobs", "one"));
        CHECK_FALSE(isOk(read));
        CHECK(errorOf(read).code != ErrorCode::NotFound);
        const ScriptedStore other(context.get_executor(), {{whole.substr(0, length)}});
        const auto writer = connect(other);
        const auto written = await(writer->replaceStatus("jobs", named("one")));
        CHECK_FALSE(isOk(written));
        CHECK(errorOf(written).code == ErrorCode::OutcomeUnknown
              || errorOf(written).code == ErrorCode::TimedOut);
    }
}

// Guards against an answer that breaks the protocol and is taken for what the store has, or for its
// word that a write was or was not carried out.
TEST(ObjectClient, AnAnswerThatBreaksTheProtocolIsNone)
{
    const std::string rest = answer("one", 5).substr(std::string("HTTP/1.1 200 OK\r\n").size());
    std::vector<std::string> broken;
    for (const char *status : {"000", "099", "600", "999"})
        broken.push_back("HTTP/1.1 " + std::string(status) + " X\r\n" + rest);
    for (const char *status : {"200 OK", "404 Not Found", "409 Conflict", "503 Busy"}) {
        const std::string line = "HTTP/1.1 " + std::string(status) + "\r\n";
        for (const char *field : {"Some Name: 1", "X-A: 1\r\n Name: 1", "X\x01Y: 1",
                                  "Content-Encoding: gzip", "Transfer-Encoding: chunked"})
            broken.push_back(tests::joined({line, field, "\r\n", rest}));
        for (const char *coding : {"gzip, chunked", "gzip"})
            broken.push_back(
                    tests::joined({line, "Transfer-Encoding: ", coding, "\r\n\r\n0\r\n\r\n"}));
    }
    for (const std::string &bytes : broken) {
        const ScriptedStore store(context.get_executor(), {{bytes}, {bytes}, {bytes}});
        const auto client = connect(store);
        const auto read = await(client->get("jobs", "one"));
        CHECK_TEXT(!isOk(read) && errorOf(read).code == ErrorCode::ProtocolError, bytes.c_str());
        const auto written = await(client->replaceStatus("jobs", named("one")));
        CHECK_TEXT(!isOk(written) && errorOf(written).code == ErrorCode::OutcomeUnknown,
                   bytes.c_str());
        const auto removed = await(client->remove("jobs", "one"));
        CHECK_TEXT(!isOk(removed) && errorOf(removed).code == ErrorCode::OutcomeUnknown,
                   bytes.c_str());
    }
}

// Guards against an interim answer that is taken for the answer.
TEST(ObjectClient, AnInterimAnswerIsPassedOver)
{
    const ScriptedStore store(context.get_executor(),
                              {{"HTTP/1.1 100 Continue\r\n\r\n" + answer("one", 5)}});
    CHECK(isOk(await(connect(store)->get("jobs", "one"))));
}
