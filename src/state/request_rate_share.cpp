#include "apricotarch/state/request_rate_share.h"

#include <algorithm>

namespace apricotarch
{

using Seconds = std::chrono::duration<double>;

void RequestRateShare::setAllowance(const RateAllowance &allowance, TimePoint now)
{
    m_tokens = m_limited ? std::min(tokens(now), allowance.burst) : 0;
    m_countedAt = now;
    m_allowance = allowance;
    m_limited = true;
}

bool RequestRateShare::take(TimePoint now) noexcept
{
    if (!m_limited) {
        return true;
    }
    m_tokens = tokens(now);
    m_countedAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

Duration RequestRateShare::waitTime(TimePoint now) const noexcept
{
    if (isAvailable(now)) {
        return Duration::zero();
    }
    const double rate = m_allowance.perSecond > 0 ? m_allowance.perSecond : m_allowance.totalPerSecond;
    const double missing = m_allowance.perSecond > 0 ? 1 - tokens(now) : 1;
    return rate > 0 ? std::chrono::ceil<Duration>(Seconds(missing / rate)) : Duration::zero();
}

double RequestRateShare::tokens(TimePoint now) const noexcept
{
    const double elapsed = std::max(Seconds(now - m_countedAt).count(), 0.0);
    return std::min(m_tokens + elapsed * m_allowance.perSecond, m_allowance.burst);
}

} // namespace apricotarch
