#pragma once

#include "base/socketaddress.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// An endpoint that answers each request with bytes that were set beforehand.
class RawEndpoint
{
public:
    struct Answer
    {
        /// Sent in these pieces, with a pause of 20 ms between two of them. "@id@" stands for the
        /// value of the request's Request-Id field.
        std::vector<std::string> pieces;
        bool closesAfterwards = false;
        /// Resets the connection after another pause.
        bool resetsAfterwards = false;
        /// Sends the answer when a part of the request has come, and reads no more of it.
        bool comesEarly = false;
        /// The time before anything is sent, or the connection closed.
        std::chrono::milliseconds pause{0};
    };

    /// The first request gets the first answer and so on; the last one repeats.
    explicit RawEndpoint(std::vector<Answer> answers);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    /// Sets the answers anew, and counts requests and connections from 0 again. No request may be
    /// under way.
    void setAnswers(std::vector<Answer> answers);

    pistachiofall::SocketAddress address() const;
    std::uint16_t port() const { return m_port; }
    int connections() const { return m_connections; }
    int requests() const { return m_requests; }
    /// Whether the client has closed a connection while its answer was not complete.
    bool hasLostClient() const { return m_hasLostClient; }
    std::string lastRequest();

private:
    void acceptConnections();
    void serve(int socket);
    void serveRequests(int socket);
    std::string readSome(int socket);
    std::string readRequest(int socket, std::string request);
    const Answer &nextAnswer() const;
    bool answersEarly();
    Answer takeAnswer(std::string request);
    void sendPieces(int socket, const Answer &answer, const std::string &requestId);
    void reset(int socket);

    std::vector<Answer> m_answers;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_connections{0};
    std::atomic<int> m_requests{0};
    std::atomic<bool> m_hasLostClient{false};
    std::mutex m_mutex;
    std::string m_lastRequest;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};
