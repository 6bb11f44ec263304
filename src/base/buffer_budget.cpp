#include "apricotarch/base/buffer_budget.h"

#include <algorithm>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

BufferCharge::BufferCharge(BufferBudget *budget, const char *holder, GiveUp giveUp)
    : m_budget(budget)
    , m_holder(holder)
    , m_giveUp(std::move(giveUp))
{
    if (m_budget != nullptr) {
        m_budget->m_charges.push_back(*this);
    }
}

BufferCharge::~BufferCharge()
{
    if (m_budget != nullptr) {
        m_budget->m_used -= m_bytes;
        m_budget->m_charges.erase(m_budget->m_charges.iterator_to(*this));
    }
}

void BufferCharge::set(std::size_t bytes)
{
    if (m_budget != nullptr && bytes != m_bytes) {
        m_budget->change(*this, bytes);
    }
}

BufferBudget::BufferBudget(std::size_t limit)
    : m_limit(limit)
{
}

BufferBudget::~BufferBudget()
{
    m_charges.clear_and_dispose([](BufferCharge *charge) {
        charge->m_budget = nullptr;
    });
}

void BufferBudget::change(BufferCharge &charge, std::size_t bytes)
{
    const bool grows = bytes > charge.m_bytes;
    m_used = m_used - charge.m_bytes + bytes;
    charge.m_bytes = bytes;
    if (grows) {
        enforce();
    }
}

void BufferBudget::enforce()
{
    while (m_used > m_limit) {
        const auto largest = std::ranges::max_element(m_charges, {}, [](const BufferCharge &charge) {
            return charge.m_bytes;
        });
        LogEvent("memory.buffers_given_up", LogEvent::Level::Warning)
            .field("holder", std::string_view(largest->m_holder))
            .field("bytes", largest->m_bytes)
            .field("buffered_bytes", m_used)
            .field("limit_bytes", m_limit);
        m_used -= std::exchange(largest->m_bytes, 0);
        largest->m_giveUp();
    }
}

} // namespace apricotarch
