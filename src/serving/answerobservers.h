#pragma once

#include "fleet/endpointanswer.h"

#include <functional>
#include <utility>
#include <vector>

namespace pistachiofall {

/// Passes the answers of endpoints on to the parts that learn from them. Not thread safe.
class AnswerObservers
{
public:
    using Observer = std::function<void(const EndpointAnswer &answer)>;

    void add(Observer observer) { m_observers.push_back(std::move(observer)); }
    void notify(const EndpointAnswer &answer) const
    {
        for (const Observer &observer : m_observers)
            observer(answer);
    }

private:
    std::vector<Observer> m_observers;
};

} // namespace pistachiofall
