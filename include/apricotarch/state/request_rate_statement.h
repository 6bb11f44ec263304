#pragma once

/**
 * @file
 * What a backend server has stated of the request rate that it takes from all nodes together.
 */

#include <optional>

#include "apricotarch/base/clock.h"

namespace apricotarch
{

/// The latest known statement of one server process. A server repeats its limit in each answer for as long as it applies.
struct RequestRateStatement
{
    std::optional<double> perSecond; ///< Requests per second from all nodes together, 0 or more; empty if there is no limit.
    std::optional<TimePoint> statedAt; ///< When the answer arrived, at this node or at the one that reported it; empty if there was none.
    TimePoint connectedAt; ///< When the connection was opened on which it was learned.
};

} // namespace apricotarch
