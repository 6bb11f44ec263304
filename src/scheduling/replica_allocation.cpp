#include "apricotarch/scheduling/replica_allocation.h"

#include <algorithm>
#include <vector>

namespace apricotarch
{

namespace
{

/// A zone keeps at least an even share divided by this, so that the loss of another zone does not leave almost nothing.
constexpr int EvenShareDivisor = 4;

int divideRoundingUp(int number, int divisor)
{
    return (number + divisor - 1) / divisor;
}

/// Distributes replicas step by step.
class Allocator
{
public:
    Allocator(const AllocationRequest &request, const ScalingSpec &spec)
        : m_request(request)
        , m_spec(spec)
    {
        for (const auto &[zone, limits] : request.zones) {
            m_allocation[zone];
            m_byPrice.push_back(zone);
        }
        std::ranges::stable_sort(m_byPrice, {}, [&spec](const ZoneId &zone) {
            return spec.price(zone, false);
        });
    }

    Allocation run()
    {
        if (m_byPrice.empty()) {
            return {};
        }
        const int share = divideRoundingUp(m_request.replicas, EvenShareDivisor * static_cast<int>(m_byPrice.size()));
        for (const ZoneId &zone : m_byPrice) {
            const int floor = std::max(m_request.zones.at(zone).floor, share);
            while (m_allocation[zone].total() < floor && (add(zone, ReplicaKind::Regular) || add(zone, ReplicaKind::Reclaimable))) {
            }
        }
        if (m_spec.usesReclaimable()) {
            addReclaimable();
        }
        addRegular();
        return std::move(m_allocation);
    }

private:
    [[nodiscard]] int missing() const
    {
        return m_request.replicas - totalReplicas(m_allocation);
    }

    bool add(const ZoneId &zone, ReplicaKind kind)
    {
        const ZoneLimits &limits = m_request.zones.at(zone);
        ZoneAllocation &allocation = m_allocation[zone];
        if (allocation.total() >= m_spec.maxPerZone || allocation.count(kind) >= limits.highest.count(kind)) {
            return false;
        }
        ++allocation.count(kind);
        return true;
    }

    bool addToCheapest(ReplicaKind kind)
    {
        return std::ranges::any_of(m_byPrice, [&](const ZoneId &zone) {
            return add(zone, kind);
        });
    }

    /// Adds one to each zone in turn, then replaces as many by regular ones as the loss of a zone requires.
    void addReclaimable()
    {
        int left = missing();
        for (bool added = true; added && left > 0;) {
            added = false;
            for (const ZoneId &zone : m_byPrice) {
                if (left > 0 && add(zone, ReplicaKind::Reclaimable)) {
                    added = true;
                    --left;
                }
            }
        }
        while (replicasAfterReclaim(m_allocation) + std::max(missing(), 0) < m_request.afterReclaim) {
            const auto most = std::ranges::max_element(m_allocation, {}, [](const auto &entry) {
                return entry.second.reclaimable;
            });
            if (most->second.reclaimable == 0) {
                return;
            }
            --most->second.reclaimable;
            if (!addToCheapest(ReplicaKind::Regular)) {
                ++most->second.reclaimable;
                return;
            }
        }
    }

    void addRegular()
    {
        for (int left = missing(); left > 0 && addToCheapest(ReplicaKind::Regular); --left) {
        }
    }

    const AllocationRequest &m_request;
    const ScalingSpec &m_spec;
    std::vector<ZoneId> m_byPrice; ///< Cheapest first.
    Allocation m_allocation;
};

} // namespace

int totalReplicas(const Allocation &allocation)
{
    int total = 0;
    for (const auto &[zone, counts] : allocation) {
        total += counts.total();
    }
    return total;
}

int replicasAfterReclaim(const Allocation &allocation)
{
    int most = 0;
    for (const auto &[zone, counts] : allocation) {
        most = std::max(most, counts.reclaimable);
    }
    return totalReplicas(allocation) - most;
}

Allocation allocateReplicas(const AllocationRequest &request, const ScalingSpec &spec)
{
    return Allocator(request, spec).run();
}

} // namespace apricotarch
