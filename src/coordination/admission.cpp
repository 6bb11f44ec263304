#include "apricotarch/coordination/admission.h"

#include <algorithm>
#include <utility>

namespace apricotarch
{

AdmissionController::AdmissionController(AdmissionLimits limits)
    : m_limits(limits)
{
}

std::string AdmissionController::tryAdmit(const CallerId &caller)
{
    const std::lock_guard lock(m_mutex);
    if (m_inFlight >= m_limits.maxInFlight) {
        return "node_full";
    }
    const auto found = m_callers.find(caller);
    const std::size_t callerRequests = found == m_callers.end() ? 0 : found->second;
    const std::size_t callers = m_callers.size() + (callerRequests == 0 ? 1 : 0);
    const bool enforceFairShare =
        static_cast<double>(m_inFlight) >= m_limits.fairShareThreshold * static_cast<double>(m_limits.maxInFlight);
    if (enforceFairShare && callerRequests >= std::max<std::size_t>(m_limits.maxInFlight / callers, 1)) {
        return "caller_share_used";
    }
    ++m_callers[caller];
    ++m_inFlight;
    return {};
}

void AdmissionController::release(const CallerId &caller)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_callers.find(caller);
    if (found == m_callers.end()) {
        return;
    }
    --m_inFlight;
    if (--found->second == 0) {
        m_callers.erase(found);
    }
}

std::size_t AdmissionController::inFlight() const noexcept
{
    const std::lock_guard lock(m_mutex);
    return m_inFlight;
}

double AdmissionController::loadShare() const noexcept
{
    return static_cast<double>(inFlight()) / static_cast<double>(m_limits.maxInFlight);
}

bool canMeetDeadline(Duration predicted, Duration remaining) noexcept
{
    constexpr int MarginPercent = 10;
    return predicted + predicted * MarginPercent / 100 <= remaining;
}

std::chrono::seconds retryAfter(Duration predicted, Duration remaining) noexcept
{
    constexpr std::chrono::seconds MinRetryAfter{1};
    constexpr std::chrono::seconds MaxRetryAfter{30};
    const auto lateness = std::chrono::duration_cast<std::chrono::seconds>(predicted - remaining);
    return std::clamp(lateness, MinRetryAfter, MaxRetryAfter);
}

AdmissionPermit::AdmissionPermit(boost::intrusive_ptr<AdmissionController> controller, CallerId caller)
    : m_controller(std::move(controller))
    , m_caller(std::move(caller))
{
}

AdmissionPermit::~AdmissionPermit()
{
    m_controller->release(m_caller);
}

} // namespace apricotarch
