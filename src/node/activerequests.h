#pragma once

#include "rules/keyrule.h"
#include "rules/ruleset.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace pistachiofall {

/// The requests in flight that run under a key, so that they end when the key is withdrawn or when
/// this instance can no longer know whether it is. Thread safe.
class ActiveRequests
{
public:
    /// The cancel callback may run on any thread, and also when the request has just ended.
    std::uint64_t add(const KeyRule &key, std::function<void()> cancel);
    void remove(std::uint64_t id);

    /// Cancels the requests whose keys are not valid under the rules. Returns how many.
    std::size_t cancelInvalid(const RuleSet &rules);
    std::size_t cancelAll();

    std::size_t size() const;

private:
    struct Entry
    {
        KeyRule key;
        std::function<void()> cancel;
    };

    mutable std::mutex m_mutex;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, Entry> m_entries;
};

} // namespace pistachiofall
