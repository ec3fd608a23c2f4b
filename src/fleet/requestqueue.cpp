#include "fleet/requestqueue.h"

#include <algorithm>
#include <tuple>

namespace pistachiofall {

void RequestQueue::add(const WaitingRequest &request)
{
    m_waiting[request.service][request.id] = request;
}

void RequestQueue::remove(std::uint64_t id)
{
    for (auto &[service, requests] : m_waiting) {
        if (requests.erase(id) > 0)
            break;
    }
    std::erase_if(m_waiting, [](const auto &each) { return each.second.empty(); });
}

std::vector<WaitingRequest> RequestQueue::ordered(const std::string &service, SteadyTime now) const
{
    std::vector<WaitingRequest> requests;
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return requests;
    for (const auto &[id, request] : found->second)
        requests.push_back(request);
    const auto rank = [now](const WaitingRequest &request) {
        return std::make_tuple(request.startBy < now, request.isOverShare, request.priority,
                               request.startBy, request.id);
    };
    std::sort(requests.begin(), requests.end(),
              [&rank](const WaitingRequest &left, const WaitingRequest &right) {
                  return rank(left) < rank(right);
              });
    return requests;
}

std::map<std::string, int> RequestQueue::counts() const
{
    std::map<std::string, int> all;
    for (const auto &[service, requests] : m_waiting)
        all[service] = static_cast<int>(requests.size());
    return all;
}

int RequestQueue::count(const std::string &service) const
{
    const auto found = m_waiting.find(service);
    return found == m_waiting.end() ? 0 : static_cast<int>(found->second.size());
}

int RequestQueue::countOverShare(const std::string &service) const
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return 0;
    return static_cast<int>(
            std::count_if(found->second.begin(), found->second.end(),
                          [](const auto &each) { return each.second.isOverShare; }));
}

std::vector<std::string> RequestQueue::services() const
{
    std::vector<std::string> names;
    for (const auto &[service, requests] : m_waiting)
        names.push_back(service);
    return names;
}

} // namespace pistachiofall
