#include "serving/itemqueues.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachiofall {

namespace {

bool isBehind(const QueuedItem &left, const QueuedItem &right)
{
    return right.rank < left.rank;
}

} // namespace

void ItemQueues::add(const std::string &service, QueuedItem item)
{
    m_queues[service].push_back(std::move(item));
}

// The queues become heaps, as there are far more items than free slots as a rule.
void ItemQueues::startItems(const std::function<Start(const QueuedItem &item)> &start)
{
    for (auto &[service, queue] : m_queues) {
        std::make_heap(queue.begin(), queue.end(), isBehind);
        std::vector<QueuedItem> held;
        while (!queue.empty()) {
            const Start outcome = start(queue.front());
            if (outcome == Start::NoSlot)
                break;
            std::pop_heap(queue.begin(), queue.end(), isBehind);
            if (outcome == Start::NotNow)
                held.push_back(std::move(queue.back()));
            queue.pop_back();
        }
        std::move(held.begin(), held.end(), std::back_inserter(queue));
    }
}

std::map<std::string, std::size_t> ItemQueues::counts() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[service, queue] : m_queues) {
        if (!queue.empty())
            counts[service] = queue.size();
    }
    return counts;
}

} // namespace pistachiofall
