#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "wire/framestream.h"
#include "wire/peerclientsettings.h"
#include "wire/silencedetector.h"
#include "wire/wiremetrics.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall::detail {

/// The client's side of one connection, from the first attempt to connect to its end; it is never
/// opened again. All functions but the constructor run on strand().
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Reply = Result<wire::BodyUnion>;

    enum class Event {
        Connected,
        /// The peer's host refused the connection: no process listens on the address.
        Refused,
        /// The attempt to connect failed in another way.
        ConnectFailed,
        /// The connection takes no more calls.
        Closed,
    };
    using EventHandler = std::function<void(Event, const ClientConnection &)>;

    ClientConnection(const boost::asio::any_io_executor &executor, const SocketAddress &address,
                     const PeerClientSettings &settings, std::shared_ptr<WireMetrics> metrics,
                     EventHandler onEvent);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    const boost::asio::any_io_executor &strand() const { return m_strand; }
    const SocketAddress &address() const { return m_address; }

    static boost::asio::awaitable<void> run(std::shared_ptr<ClientConnection> self);

    /// Empty when the connection had closed before the call, so that another one must be used.
    static boost::asio::awaitable<std::optional<Reply>>
    call(std::shared_ptr<ClientConnection> self, std::shared_ptr<const wire::BodyUnion> request,
         TimePoint deadline);

    void close(const std::string &reason);

private:
    using Self = std::shared_ptr<ClientConnection>;

    enum class State {
        Connecting,
        Open,
        Closed,
    };

    struct Call
    {
        explicit Call(const boost::asio::any_io_executor &strand)
            : wake(strand)
        { }

        std::shared_ptr<const wire::BodyUnion> request;
        TimePoint deadline;
        boost::asio::steady_timer wake;
        std::optional<Reply> reply;
        bool isSent = false;
    };

    boost::asio::awaitable<boost::system::error_code> connect();
    void failConnect(boost::system::error_code error);
    static boost::asio::awaitable<void> watch(Self self);
    static boost::asio::awaitable<void> writeQueued(Self self);

    void startWriting();
    std::string encodeQueued();
    std::string encodeCall(std::uint64_t id, Call &call, TimePoint now);
    std::string encodeProbe();
    void receive(wire::EnvelopeT envelope);
    TimePoint nextWatch() const;
    void checkSilence(TimePoint now);
    static void finish(Call &call, Reply reply);

    boost::asio::any_io_executor m_strand;
    SocketAddress m_address;
    PeerClientSettings m_settings;
    FrameStream m_stream;
    std::shared_ptr<WireMetrics> m_metrics;
    EventHandler m_onEvent;
    State m_state = State::Connecting;
    std::map<std::uint64_t, std::shared_ptr<Call>> m_calls;
    std::deque<std::uint64_t> m_unsent;
    std::uint64_t m_lastId = 0;
    bool m_isWriting = false;
    bool m_isProbeDue = false;
    SilenceDetector m_silence;
    TimePoint m_lastUsed = std::chrono::steady_clock::now();
    boost::asio::steady_timer m_watchTimer;
};

} // namespace pistachiofall::detail
