#pragma once

/**
 * @file
 * Admission of requests: a limit for the node, shares between callers, and no work that is predicted to be late.
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

/// Limits of one node.
struct AdmissionLimits
{
    std::size_t inFlight = 2048; ///< Requests at a time, at least 1.
    double fairFrom = 0.5; ///< Share of the limit from which callers are held to equal shares.
};

/// Counts requests in flight and refuses those beyond the limits. Thread-safe. Lives as long as a place at it is held.
class AdmissionGate : public boost::intrusive_ref_counter<AdmissionGate>
{
public:
    explicit AdmissionGate(AdmissionLimits limits);

    /**
     * Asks for a place.
     * @return an empty text where the place is given; otherwise the refusal reason, `node_full` or `caller_share_used`
     */
    [[nodiscard]] std::string enter(const CallerId &caller);

    /// Gives a place back.
    void leave(const CallerId &caller);

    /// Requests in flight.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// Share of the limit in use, 0 to 1.
    [[nodiscard]] double loadShare() const noexcept;

private:
    AdmissionLimits m_limits;
    mutable std::mutex m_mutex;
    std::map<CallerId, std::size_t> m_callers;
    std::size_t m_inFlight = 0;
};

/// Whether an answer predicted to take @p predicted is ready within @p left, with a margin for late reports.
[[nodiscard]] bool canBeInTime(Duration predicted, Duration left) noexcept;

/// When a refused caller may try again, from how late its answer would have been; at least 1 s, at most 30 s.
[[nodiscard]] std::chrono::seconds retryAfter(Duration predicted, Duration left) noexcept;

/// A place at a gate that is given back when the object goes.
class AdmissionPlace
{
public:
    AdmissionPlace(boost::intrusive_ptr<AdmissionGate> gate, CallerId caller);
    AdmissionPlace(const AdmissionPlace &) = delete;
    AdmissionPlace &operator=(const AdmissionPlace &) = delete;
    ~AdmissionPlace();

private:
    boost::intrusive_ptr<AdmissionGate> m_gate;
    CallerId m_caller;
};

} // namespace apricotarch
