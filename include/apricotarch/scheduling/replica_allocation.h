#pragma once

/**
 * @file
 * Distribution of a number of replicas over availability zones and over the two kinds of replicas.
 */

#include <array>
#include <map>
#include <utility>

#include "apricotarch/base/ids.h"
#include "apricotarch/state/scaling_spec.h"

namespace apricotarch
{

/// Kinds of replicas, which are billed and ordered separately.
enum class ReplicaKind : std::uint8_t {
    Regular,
    Reclaimable, ///< The platform may take it back.
};

inline constexpr std::array<ReplicaKind, 2> ReplicaKinds{ReplicaKind::Regular, ReplicaKind::Reclaimable};

/// Numbers of replicas of one availability zone.
struct ZoneAllocation
{
    int regular = 0;
    int reclaimable = 0;

    [[nodiscard]] int count(ReplicaKind kind) const noexcept
    {
        return kind == ReplicaKind::Regular ? regular : reclaimable;
    }

    [[nodiscard]] int &count(ReplicaKind kind) noexcept
    {
        return kind == ReplicaKind::Regular ? regular : reclaimable;
    }

    [[nodiscard]] int total() const noexcept
    {
        return regular + reclaimable;
    }
};

/// Numbers of replicas by availability zone.
using Allocation = std::map<ZoneId, ZoneAllocation>;

/// Returns the number of all replicas.
[[nodiscard]] int totalReplicas(const Allocation &allocation);

/// Returns the number of replicas that remain after the loss of the reclaimable replicas of the zone that has most of them.
[[nodiscard]] int replicasAfterReclaim(const Allocation &allocation);

/// Limits for the replicas of one zone.
struct ZoneLimits
{
    int floor = 0; ///< Minimum number for both kinds together.
    ZoneAllocation highest; ///< Maximum number of each kind, because a kind may be unavailable.
};

/// What is to be distributed.
struct AllocationRequest
{
    int replicas = 0; ///< Wanted number of replicas. Fewer are distributed if the limits of the zones do not suffice.
    int afterReclaim = 0; ///< Number of replicas that must remain after the loss of one zone's reclaimable replicas.
    std::map<ZoneId, ZoneLimits> zones;
};

/**
 * Distributes replicas. No zone has less than a quarter of an even share, as long as its limits allow. The rest is regular replicas of the
 * cheapest zones or, if reclaimable replicas cost less, an even number of these in each zone. Takes time linear in the number of replicas
 * times the number of zones.
 */
[[nodiscard]] Allocation allocateReplicas(const AllocationRequest &request, const ScalingSpec &spec);

} // namespace apricotarch
