#pragma once

#include "base/result.h"
#include "http/answerreader.h"
#include "store/callkind.h"
#include "store/connectionpool.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

namespace pistachiofall::store::detail {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// A complete answer with any status.
struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
};

/// The largest answer, and the largest event of a watch, that is accepted.
constexpr std::size_t MaxAnswerBytes = 64U << 20U;

HttpRequest makeRequest(boost::beast::http::verb verb, const std::string &target,
                        const std::string &host, std::string body = {});

/// Sends the request, over a new connection when the one given is not open yet. Runs on the
/// connection's strand, and ends by the deadline that is set on the stream.
boost::asio::awaitable<Result<Done>> sendRequest(StoreConnection &connection,
                                                 const boost::asio::ip::tcp::endpoint &endpoint,
                                                 const HttpRequest &request, CallKind kind);

/// A reader of the answer that comes next on the connection, which must outlive it.
std::unique_ptr<pistachiofall::detail::AnswerReader> readerOf(StoreConnection &connection,
                                                              const HttpRequest &request);

/// Reads the whole answer. The error is one of answerReadError().
boost::asio::awaitable<Result<HttpAnswer>>
readAnswer(pistachiofall::detail::AnswerReader &reader, CallKind kind,
           std::chrono::steady_clock::time_point deadline);

/// Reads the body of an answer whose head has been read. The error is one of answerReadError().
boost::asio::awaitable<Result<std::string>>
readBody(pistachiofall::detail::AnswerReader &reader, CallKind kind,
         std::chrono::steady_clock::time_point deadline);

/// Sends one request and reads the whole answer within the timeout, connect included. The error is
/// one of connectionError() or of answerReadError().
boost::asio::awaitable<Result<HttpAnswer>> httpCall(std::shared_ptr<ConnectionPool> pool,
                                                    CallKind kind, HttpRequest request,
                                                    std::chrono::milliseconds timeout);

} // namespace pistachiofall::store::detail
