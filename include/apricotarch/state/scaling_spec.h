#pragma once

/**
 * @file
 * The operator's limits and prices for the number of a service's replicas.
 */

#include <chrono>
#include <map>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Limits and prices for orders of replicas.
struct ScalingSpec
{
    int minPerZone = 0; ///< Minimum number of replicas in each availability zone, of both kinds together.
    int maxPerZone = 0; ///< Maximum number of replicas in each availability zone, of both kinds together; at least minPerZone.
    std::chrono::milliseconds bootTime{0}; ///< Time from an order until a new replica serves.
    double spotPrice = 0; ///< Price of a reclaimable replica relative to a regular one; 0 if none can be ordered.
    std::map<ZoneId, double> zonePrices; ///< Price of one second of a regular replica; zones that are missing cost 1.

    /// Returns the price of one second of a replica.
    [[nodiscard]] double price(const ZoneId &zone, bool reclaimable) const
    {
        const auto found = zonePrices.find(zone);
        return (found == zonePrices.end() ? 1.0 : found->second) * (reclaimable ? spotPrice : 1.0);
    }

    /// Whether reclaimable replicas can be ordered and cost less than regular ones.
    [[nodiscard]] bool usesReclaimable() const noexcept
    {
        return spotPrice > 0 && spotPrice < 1;
    }

    bool operator==(const ScalingSpec &) const = default;
};

} // namespace apricotarch
