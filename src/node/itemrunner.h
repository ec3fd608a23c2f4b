#pragma once

#include "batch/batchitem.h"
#include "batch/itemcancellation.h"
#include "batch/itemoutcome.h"
#include "node/coordination.h"
#include "node/forwarder.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Runs the items of batch jobs on slots that online requests leave over. Thread safe.
class ItemRunner
{
public:
    ItemRunner(Coordination &coordination, Forwarder &forwarder);

    /// Runs one try of an item.
    boost::asio::awaitable<ItemOutcome> run(BatchItem item, std::string organisation,
                                            std::shared_ptr<ItemCancellation> cancellation);

    /// Whether requests to the path may be sent more than once.
    bool isIdempotent(const std::string &path) const;

private:
    Result<ForwardRequest> requestFor(const BatchItem &item, std::string organisation) const;
    boost::asio::awaitable<ItemOutcome> finish(OpenAnswer answer, bool isIdempotentItem);

    Coordination &m_coordination;
    Forwarder &m_forwarder;
};

} // namespace pistachiofall
