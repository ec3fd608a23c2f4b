#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace pistachiofall::standins {

/// The prompt prefixes that an engine keeps, in blocks of a fixed number of characters. The hash of
/// a block covers all blocks before it, so a block is only found behind the same beginning. When it
/// is full, the block that was used longest ago goes. Safe to use from several threads.
class PrefixCache
{
public:
    /// Blocks since the start.
    struct Counts
    {
        std::uint64_t lookedUp = 0;
        std::uint64_t found = 0;
    };

    /// With a capacity of 0 blocks the cache is off.
    PrefixCache(std::size_t capacity, std::size_t blockCharacters);

    /// Looks up the whole blocks of the prompt and keeps them all. Returns the share of the prompt,
    /// 0 to 1, that was found from its beginning on.
    double use(std::string_view prompt);

    Counts counts() const;

private:
    void keep(std::uint64_t hash);

    const std::size_t m_capacity;
    const std::size_t m_blockCharacters;
    mutable std::mutex m_mutex;
    /// The block used last comes first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    Counts m_counts;
};

} // namespace pistachiofall::standins
