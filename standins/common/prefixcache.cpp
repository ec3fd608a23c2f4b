#include "common/prefixcache.h"

#include "base/stablehash.h"

#include <algorithm>
#include <string>
#include <vector>

namespace pistachiofall::standins {

namespace {

std::vector<std::uint64_t> blockHashes(std::string_view prompt, std::size_t blockCharacters)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    for (; prompt.size() >= blockCharacters; prompt.remove_prefix(blockCharacters)) {
        std::string chained = std::to_string(hash) + ':';
        chained += prompt.substr(0, blockCharacters);
        hash = stableHash(chained);
        hashes.push_back(hash);
    }
    return hashes;
}

} // namespace

PrefixCache::PrefixCache(std::size_t capacity, std::size_t blockCharacters)
    : m_capacity(capacity)
    , m_blockCharacters(std::max<std::size_t>(1, blockCharacters))
{ }

double PrefixCache::use(std::string_view prompt)
{
    if (m_capacity == 0 || prompt.empty())
        return 0;
    const std::vector<std::uint64_t> hashes = blockHashes(prompt, m_blockCharacters);
    const std::scoped_lock lock(m_mutex);
    const auto missing = std::find_if(hashes.begin(), hashes.end(), [this](std::uint64_t hash) {
        return !m_blocks.contains(hash);
    });
    const auto found = static_cast<std::size_t>(missing - hashes.begin());
    m_counts.lookedUp += hashes.size();
    m_counts.found += found;
    // A block is of no use without those before it, so the last ones have to go first.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash)
        keep(*hash);
    return static_cast<double>(found * m_blockCharacters) / static_cast<double>(prompt.size());
}

void PrefixCache::keep(std::uint64_t hash)
{
    const auto known = m_blocks.find(hash);
    if (known != m_blocks.end()) {
        m_order.splice(m_order.begin(), m_order, known->second);
        return;
    }
    m_order.push_front(hash);
    m_blocks[hash] = m_order.begin();
    if (m_blocks.size() > m_capacity) {
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
}

PrefixCache::Counts PrefixCache::counts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

} // namespace pistachiofall::standins
