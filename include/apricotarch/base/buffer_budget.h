#pragma once

/**
 * @file
 * A limit on the memory that all connections of a process use for buffers together. Each message has a limit of its own, but many large
 * messages at the same time would exceed the memory of the process.
 */

#include <cstddef>
#include <functional>
#include <string>

#include <boost/intrusive/list.hpp>

namespace apricotarch
{

class BufferBudget;

/// Bytes that one holder keeps. Counts in its budget until it is destroyed.
class BufferCharge : public boost::intrusive::list_base_hook<>
{
public:
    /// Frees the holder's buffers, which fails what it is doing. Must not destroy the charge.
    using GiveUp = std::function<void()>;

    /**
     * @param budget null if the holder is not limited
     * @param holder kind of the holder, for logs; must be a literal
     * @param giveUp called if the budget is exceeded and this is the largest charge
     */
    BufferCharge(BufferBudget *budget, const char *holder, GiveUp giveUp);
    ~BufferCharge();
    BufferCharge(const BufferCharge &) = delete;
    BufferCharge &operator=(const BufferCharge &) = delete;

    /// Sets the number of bytes that the holder keeps. If that exceeds the budget, the largest charges are given up, which may be this one.
    void set(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

private:
    friend class BufferBudget;

    BufferBudget *m_budget;
    const char *m_holder;
    GiveUp m_giveUp;
    std::size_t m_bytes = 0;
};

/// Limits the sum of the charges of all holders. Not thread-safe; used on one event loop.
class BufferBudget
{
public:
    /// @param limit in bytes
    explicit BufferBudget(std::size_t limit);
    /// Charges that are left are no longer limited: connections may outlive the budget while an event loop is destroyed.
    ~BufferBudget();
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    /// Changes the limit. Holders are given up when one of them grows next.
    void setLimit(std::size_t limit) noexcept
    {
        m_limit = limit;
    }

    [[nodiscard]] std::size_t used() const noexcept
    {
        return m_used;
    }

private:
    friend class BufferCharge;

    void change(BufferCharge &charge, std::size_t bytes);
    /// Gives up the largest charges until the sum is within the limit. Linear in the number of charges, and only run beyond the limit.
    void enforce();

    std::size_t m_limit;
    std::size_t m_used = 0;
    boost::intrusive::list<BufferCharge, boost::intrusive::constant_time_size<false>> m_charges;
};

/// Empties a string and frees its memory.
inline void releaseMemory(std::string &text)
{
    std::string().swap(text);
}

} // namespace apricotarch
