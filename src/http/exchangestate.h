#pragma once

#include "http/erroranswer.h"
#include "http/httpstream.h"
#include "http/listenershared.h"
#include "http/requestreader.h"
#include "http/responsehead.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::detail {

/// One request on a connection and the progress of its answer. Lives on the connection's strand.
class ExchangeState : public std::enable_shared_from_this<ExchangeState>
{
public:
    ExchangeState(std::shared_ptr<ListenerShared> shared, std::shared_ptr<HttpStream> stream,
                  RequestReader &reader, const std::string &peerAddress);

    const RequestHead &head() const { return m_reader.head(); }
    const std::string &peerAddress() const { return m_peerAddress; }
    bool isCallerGone() const { return m_isCallerGone; }

    boost::asio::awaitable<Result<std::string>> readBody(std::size_t maxBytes);
    boost::asio::awaitable<Result<std::string>> readBodySome();
    boost::asio::awaitable<bool> respond(unsigned status, HttpHeaders headers, std::string body);
    boost::asio::awaitable<bool> startStream(unsigned status, HttpHeaders headers);
    boost::asio::awaitable<bool> writeChunk(std::string data);
    boost::asio::awaitable<bool> finishStream();
    void abort();
    void onCallerGone(std::function<void()> callback);

    /// Ends the exchange after the handler; whether the connection can carry another request.
    boost::asio::awaitable<bool> finish();

private:
    enum class Answer { None, Streaming, Complete, Aborted };

    bool mayReuseConnection() const;
    void noteCallerGone();
    void watchCaller();
    boost::asio::awaitable<void> sendContinue();
    boost::asio::awaitable<bool> send(HttpStream::Buffers buffers);
    boost::asio::awaitable<bool> discardBody();

    std::shared_ptr<ListenerShared> m_shared;
    std::shared_ptr<HttpStream> m_stream;
    RequestReader &m_reader;
    const std::string &m_peerAddress;
    ProgressWindow m_writeWindow;
    // Of the body that readBody() has returned, as long as the exchange lives.
    BufferShare m_wholeBody;
    Answer m_answer = Answer::None;
    bool m_isContinueDue = false;
    bool m_isBodyBroken = false;
    bool m_keepsAlive = false;
    bool m_isCallerGone = false;
    bool m_isWatching = false;
    std::function<void()> m_onCallerGone;
};

} // namespace pistachiofall::detail
