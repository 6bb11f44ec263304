#pragma once

/**
 * @file
 * Admission control: limits the requests in flight of a node and of each caller, and checks predicted times against deadlines.
 */

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Admission limits of one node.
struct AdmissionLimits
{
    std::size_t maxInFlight = 2048; ///< Maximum number of requests in flight, at least 1.
    double fairShareThreshold = 0.5; ///< Share of the limit, 0 to 1, from which on each caller is held to an equal share.
};

/// Counts the requests in flight and refuses requests beyond the limits. Thread-safe. Each AdmissionPermit keeps the controller alive.
class AdmissionController : public boost::intrusive_ref_counter<AdmissionController>
{
public:
    explicit AdmissionController(AdmissionLimits limits);

    /**
     * Admits a request if the limits allow it.
     * @return an empty string if the request is admitted; otherwise the refusal reason, `node_full` or `caller_share_used`
     */
    [[nodiscard]] std::string tryAdmit(const CallerId &caller);

    /// Records that an admitted request of the caller has ended.
    void release(const CallerId &caller);

    /// Returns the number of requests in flight.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// Returns the share of the limit that is in use, 0 to 1.
    [[nodiscard]] double loadShare() const noexcept;

private:
    AdmissionLimits m_limits;
    mutable std::mutex m_mutex;
    std::map<CallerId, std::size_t> m_callers;
    std::size_t m_inFlight = 0;
};

/// Returns whether an answer that is predicted to take @p predicted is complete within @p remaining, with a margin for outdated load
/// reports.
[[nodiscard]] bool canMeetDeadline(Duration predicted, Duration remaining) noexcept;

/// Returns the time after which a refused caller may try again: the predicted lateness of its answer, limited to 1 s to 30 s.
[[nodiscard]] std::chrono::seconds retryAfter(Duration predicted, Duration remaining) noexcept;

/// Admission of one request, which ends with the object's lifetime.
class AdmissionPermit
{
public:
    AdmissionPermit(boost::intrusive_ptr<AdmissionController> controller, CallerId caller);
    AdmissionPermit(const AdmissionPermit &) = delete;
    AdmissionPermit &operator=(const AdmissionPermit &) = delete;
    ~AdmissionPermit();

private:
    boost::intrusive_ptr<AdmissionController> m_controller;
    CallerId m_caller;
};

} // namespace apricotarch
