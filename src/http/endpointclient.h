#pragma once

#include "base/socketaddress.h"
#include "http/calloptions.h"
#include "http/endpointcall.h"
#include "http/endpointclientsettings.h"
#include "http/endpointrequest.h"
#include "metrics/metricsregistry.h"

#include <memory>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall {

/// Calls endpoints over HTTP/1.1 and keeps idle connections to them. Safe to use from several
/// threads. Calls may outlive the client.
class EndpointClient
{
public:
    /// The registry must outlive the executor.
    static std::shared_ptr<EndpointClient> create(const boost::asio::any_io_executor &executor,
                                                  const EndpointClientSettings &settings,
                                                  MetricsRegistry &metrics);

    /// The idle connections close when the client and all its calls have ended.
    ~EndpointClient();
    EndpointClient(const EndpointClient &) = delete;
    EndpointClient &operator=(const EndpointClient &) = delete;

    /// Prepares a call; EndpointCall::send() starts it. Nothing is sent before that, so the call
    /// can be handed to whoever may have to cancel it.
    std::shared_ptr<EndpointCall> prepare(const SocketAddress &address,
                                          std::shared_ptr<const EndpointRequest> request,
                                          const CallOptions &options);

    /// A share of the memory for answers, for what is kept of one besides its call.
    BufferShare makeAnswerShare() const;

private:
    explicit EndpointClient(std::shared_ptr<detail::ClientShared> shared);
    std::shared_ptr<detail::ClientShared> m_shared;
};

} // namespace pistachiofall
