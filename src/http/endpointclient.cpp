#include "http/endpointclient.h"

#include "http/clientshared.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

// Sweeps as long as the client or one of its calls lives.
void sweepLater(const std::weak_ptr<detail::ClientShared> &weak,
                std::shared_ptr<asio::steady_timer> timer, std::chrono::milliseconds interval)
{
    timer->expires_after(interval);
    timer->async_wait([weak, timer, interval](boost::system::error_code) {
        if (const auto shared = weak.lock()) {
            shared->pool.sweep();
            sweepLater(weak, timer, interval);
        }
    });
}

} // namespace

std::shared_ptr<EndpointClient> EndpointClient::create(const asio::any_io_executor &executor,
                                                       const EndpointClientSettings &settings,
                                                       MetricsRegistry &metrics)
{
    auto shared = std::make_shared<detail::ClientShared>(executor, settings, metrics);
    sweepLater(shared, std::make_shared<asio::steady_timer>(executor), settings.sweepInterval);
    return std::shared_ptr<EndpointClient>(new EndpointClient(std::move(shared)));
}

EndpointClient::EndpointClient(std::shared_ptr<detail::ClientShared> shared)
    : m_shared(std::move(shared))
{ }

EndpointClient::~EndpointClient() = default;

std::shared_ptr<EndpointCall>
EndpointClient::prepare(const SocketAddress &address,
                        std::shared_ptr<const EndpointRequest> request, const CallOptions &options)
{
    return std::make_shared<EndpointCall>(m_shared, address, std::move(request), options);
}

BufferShare EndpointClient::makeAnswerShare() const
{
    return BufferShare(m_shared->answerBudget);
}

} // namespace pistachiofall
