#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace pistachiofall {

/// The memory that all messages of one kind which a process holds whole may take together, such as
/// the answers of endpoints. Safe to use from several threads.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    /// Takes the bytes from the budget; returns false, and takes none, if there are fewer left.
    bool take(std::size_t bytes);
    void giveBack(std::size_t bytes) { m_used -= bytes; }

    std::size_t used() const { return m_used; }
    std::size_t maxBytes() const { return m_maxBytes; }

private:
    const std::size_t m_maxBytes;
    std::atomic<std::size_t> m_used{0};
};

/// What one message holds of a budget; given back with the object. Without a budget there is no
/// limit. Not thread safe.
class BufferShare
{
public:
    /// Each message may hold this much outside the budget, so that large ones, which a faulty
    /// endpoint may send without an end, leave room for the others.
    static constexpr std::size_t FreeBytes = std::size_t{64} << 10U;

    BufferShare() = default;
    explicit BufferShare(std::shared_ptr<BufferBudget> budget)
        : m_budget(std::move(budget))
    { }
    ~BufferShare() { resize(0); }
    BufferShare(BufferShare &&other) noexcept;
    BufferShare &operator=(BufferShare &&other) noexcept;

    /// The message now has this size in bytes. Returns false, and changes nothing, if the budget
    /// has no room for it.
    bool resize(std::size_t bytes);

private:
    std::shared_ptr<BufferBudget> m_budget;
    /// The bytes taken from the budget.
    std::size_t m_taken = 0;
};

/// The memory of a text of that size which has grown piece by piece.
inline std::size_t heldBytes(std::size_t size)
{
    return 2 * size;
}

} // namespace pistachiofall
