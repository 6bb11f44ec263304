#include "apricotarch/coordination/snapshot_source.h"

namespace apricotarch
{

std::optional<Endpoint> selectSnapshotSource(
    const std::vector<SnapshotSource> &sources, const std::function<bool(const Endpoint &)> &isAvoided, std::mt19937_64 &random)
{
    std::vector<const SnapshotSource *> near;
    std::vector<const SnapshotSource *> far;
    for (const SnapshotSource &source : sources) {
        if (!isAvoided(source.address)) {
            (source.inOwnZone ? near : far).push_back(&source);
        }
    }
    const std::vector<const SnapshotSource *> &candidates = near.empty() ? far : near;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)]->address;
}

} // namespace apricotarch
