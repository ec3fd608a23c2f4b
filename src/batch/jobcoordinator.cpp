#include "batch/jobcoordinator.h"

#include "batch/coordinatorstate.h"
#include "batch/jobremover.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using batch::detail::CoordinatorState;
using batch::detail::JobRemover;

namespace {

asio::awaitable<void> stopOnStrand(std::shared_ptr<CoordinatorState> state,
                                   std::shared_ptr<JobRemover> remover,
                                   std::chrono::milliseconds grace)
{
    asio::post(state->strand(), [remover] { remover->stop(); });
    co_await asio::co_spawn(state->strand(), CoordinatorState::stop(state, grace),
                            asio::use_awaitable);
}

} // namespace

JobCoordinator::JobCoordinator(const asio::any_io_executor &executor,
                               std::shared_ptr<ObjectStore> store, const Clock &clock,
                               MetricsRegistry &metrics, const JobCoordinatorSettings &settings)
    : m_state(std::make_shared<CoordinatorState>(executor, store, clock, metrics, settings))
    , m_remover(std::make_shared<JobRemover>(m_state->strand(), std::move(store), clock, metrics,
                                             settings))
{ }

JobCoordinator::~JobCoordinator()
{
    // The gate is closed synchronously, so that no item starts after the destructor has returned.
    m_state->closeGate();
    asio::post(m_state->strand(), [state = m_state, remover = m_remover] {
        state->kill();
        remover->stop();
    });
}

void JobCoordinator::start()
{
    asio::co_spawn(m_state->strand(), CoordinatorState::pollJobs(m_state), asio::detached);
    asio::co_spawn(m_state->strand(), CoordinatorState::runWorkLoop(m_state), asio::detached);
    asio::co_spawn(m_state->strand(), JobRemover::run(m_remover), asio::detached);
}

void JobCoordinator::onJobChanged()
{
    asio::post(m_state->strand(), [state = m_state] { state->onJobChanged(); });
}

void JobCoordinator::onShardTableChanged()
{
    asio::post(m_state->strand(), [state = m_state] { state->onShardTableChanged(); });
}

asio::awaitable<void> JobCoordinator::stop(std::chrono::milliseconds grace)
{
    return stopOnStrand(m_state, m_remover, grace);
}

} // namespace pistachiofall
