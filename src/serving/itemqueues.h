#pragma once

#include "fleet/itemorder.h"
#include "serving/ownedjob.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiofall {

/// A batch item that wants a slot.
struct QueuedItem
{
    ItemRank rank;
    std::shared_ptr<OwnedJob> job;
    std::size_t index = 0;
};

/// The batch items that are ready to start, in one queue for each service: items of different
/// services run at different endpoints, so that those of a service whose endpoints are full or gone
/// must not delay the others.
///
/// Not thread safe.
class ItemQueues
{
public:
    enum class Start {
        /// The item has been started, or needs no slot now.
        Done,
        /// The service of the item has no free slot.
        NoSlot,
        /// There are free slots, but they are kept for items that are more urgent and for online
        /// requests.
        NotNow,
    };

    void add(const std::string &service, QueuedItem item);

    /// Offers the items of each service in the order of their ranks, the lowest first, up to the
    /// first one for which there is no slot. That one and those behind it stay queued, and so do
    /// those that may not start now.
    void startItems(const std::function<Start(const QueuedItem &item)> &start);

    /// The number of queued items by service; without those that have none.
    std::map<std::string, std::size_t> counts() const;

private:
    std::map<std::string, std::vector<QueuedItem>> m_queues;
};

} // namespace pistachiofall
