#pragma once

#include "base/socketaddress.h"
#include "http/answerhead.h"
#include "http/callfailure.h"
#include "http/calloptions.h"
#include "http/endpointrequest.h"

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

namespace detail {
struct ClientShared;
}

/// One request to an endpoint and its answer. A call sends the request once: whether it may be sent
/// again, and where, is for the caller to decide anew. One coroutine sends and reads; cancel() may
/// be called from any thread. A call that is destroyed before its answer is complete closes its
/// connection.
class EndpointCall
{
public:
    EndpointCall(std::shared_ptr<detail::ClientShared> shared, const SocketAddress &address,
                 std::shared_ptr<const EndpointRequest> request, const CallOptions &options);
    ~EndpointCall();
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;

    /// Sends the request and waits for the status and header of the answer. Call it once.
    boost::asio::awaitable<CallResult<AnswerHead>> send();

    /// Reads at most 16 KB of the answer's body as soon as there are any. An empty piece is the end
    /// of the complete answer, checked against its length or its last chunk.
    boost::asio::awaitable<CallResult<std::string>> readSome();

    /// Reads the rest of the body. TooLarge, and the connection closed, when it is longer than the
    /// maximum or than the client's memory for answers allows. The body counts towards that memory
    /// until the call is destroyed.
    boost::asio::awaitable<CallResult<std::string>> readAll(std::size_t maxBytes);

    /// Reads the rest of an answer that says what became of the request, such as a refusal: short,
    /// so it has to be complete within the refusal timeout. Until it is, the answer may be broken,
    /// and what its head says must not be relied on.
    boost::asio::awaitable<CallResult<std::string>> readRefusal();

    /// Closes the connection, so that the endpoint stops working on the request. What send() or
    /// readSome() wait for ends with Cancelled. Does nothing after a complete answer.
    void cancel();

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace pistachiofall
