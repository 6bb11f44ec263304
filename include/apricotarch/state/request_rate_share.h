#pragma once

/**
 * @file
 * This node's share of the request rate that a backend server takes from all nodes together.
 */

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// Share of one node in the request rate of one server.
struct RateAllowance
{
    double perSecond = 0; ///< Requests per second of this node; 0 if other nodes have the shares.
    double burst = 0; ///< Requests of this node that may be sent at once; 0, or at least 1.
    double totalPerSecond = 0; ///< Requests per second of all nodes.

    bool operator==(const RateAllowance &other) const = default;
};

/// Token bucket of the requests that this node may send to one server. Without an allowance the rate is not limited.
class RequestRateShare
{
public:
    /// Sets the allowance. Requests saved up under the previous one are kept up to the new burst; there are none under the first one.
    void setAllowance(const RateAllowance &allowance, TimePoint now);

    /// Removes the allowance: the rate is not limited.
    void clear() noexcept
    {
        *this = RequestRateShare();
    }

    [[nodiscard]] bool isLimited() const noexcept
    {
        return m_limited;
    }

    /// Valid if the rate is limited.
    [[nodiscard]] const RateAllowance &allowance() const noexcept
    {
        return m_allowance;
    }

    /// Whether a request may be sent now.
    [[nodiscard]] bool isAvailable(TimePoint now) const noexcept
    {
        return !m_limited || tokens(now) >= 1;
    }

    /// Takes one request from the allowance. @return whether it may be sent
    [[nodiscard]] bool take(TimePoint now) noexcept;

    /// Returns the time until a request may be sent; of a node without a share, the average time until another node may send one.
    [[nodiscard]] Duration waitTime(TimePoint now) const noexcept;

private:
    [[nodiscard]] double tokens(TimePoint now) const noexcept;

    bool m_limited = false;
    RateAllowance m_allowance;
    double m_tokens = 0; ///< At m_countedAt.
    TimePoint m_countedAt;
};

} // namespace apricotarch
