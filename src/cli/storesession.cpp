#include "cli/storesession.h"

namespace pistachiofall {

Result<std::unique_ptr<StoreSession>> StoreSession::create(const StoreSettings &settings)
{
    std::unique_ptr<StoreSession> session(new StoreSession());
    auto store = ObjectStore::create(session->m_context.get_executor(), settings, session->m_clock,
                                     session->m_metrics);
    if (!isOk(store))
        return errorOf(store);
    session->m_store = valueOf(std::move(store));
    return session;
}

} // namespace pistachiofall
