#include "apricotarch/coordination/engine_groups.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

namespace
{

/// Engines of a group at least, on average. Enough for a few engines at each stage.
constexpr std::size_t MinEnginesPerGroup = 12;

/// Returns the number of groups for a number of engines: a power of two, so that it changes rarely.
std::size_t groupCount(std::size_t engines)
{
    return std::bit_floor(std::max<std::size_t>(engines / MinEnginesPerGroup, 1));
}

std::map<ZoneId, std::size_t> countByZone(const std::vector<BackendPointer> &engines)
{
    std::map<ZoneId, std::size_t> counts;
    for (const BackendPointer &engine : engines) {
        ++counts[engine->record.zone];
    }
    return counts;
}

} // namespace

std::vector<EngineGroup> divideIntoGroups(const std::vector<BackendPointer> &engines)
{
    const std::map<ZoneId, std::size_t> counts = countByZone(engines);
    const bool byZone = std::ranges::all_of(counts, [](const auto &entry) {
        return entry.second >= MinEnginesPerGroup;
    });
    std::map<std::string, EngineGroup> groups;
    for (const BackendPointer &engine : engines) {
        const std::size_t count = groupCount(byZone ? counts.at(engine->record.zone) : engines.size());
        const auto hash = static_cast<std::uint64_t>(contentHash(engine->record.id.value()).value());
        const std::string zone = byZone ? engine->record.zone.value() : std::string();
        std::string name = zone + '/' + std::to_string(hash % count) + '/' + std::to_string(count);
        EngineGroup &group = groups[name];
        group.name = std::move(name);
        group.engines.push_back(engine);
    }
    std::vector<EngineGroup> divided;
    divided.reserve(groups.size());
    for (auto &[name, group] : groups) {
        divided.push_back(std::move(group));
    }
    return divided;
}

std::vector<std::size_t> rankGroups(const std::vector<EngineGroup> &groups, std::uint64_t affinityKey)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    for (std::size_t index = 0; index < groups.size(); ++index) {
        std::optional<std::uint64_t> best;
        for (const BackendPointer &engine : groups[index].engines) {
            best = std::max(best.value_or(0), rendezvousScore(affinityKey, engine->record.id.value()));
        }
        if (best) {
            scores.emplace_back(*best, index);
        }
    }
    std::sort(scores.rbegin(), scores.rend());
    std::vector<std::size_t> ranked;
    ranked.reserve(scores.size());
    for (const auto &[score, index] : scores) {
        ranked.push_back(index);
    }
    return ranked;
}

EngineGroupCache::EngineGroupCache(const BackendTable &backends)
    : m_backends(backends)
{
}

const std::vector<EngineGroup> &EngineGroupCache::groups(const ServiceId &service)
{
    if (m_revision != m_backends.revision()) {
        m_revision = m_backends.revision();
        m_groups.clear();
        m_groupByEngine.clear();
    }
    const auto [entry, added] = m_groups.try_emplace(service);
    if (added) {
        entry->second = divideIntoGroups(m_backends.ready(service));
        for (const EngineGroup &group : entry->second) {
            for (const BackendPointer &engine : group.engines) {
                m_groupByEngine[engine->record.id] = group.name;
            }
        }
    }
    return entry->second;
}

const EngineGroup *EngineGroupCache::find(const ServiceId &service, const std::string &group)
{
    const std::vector<EngineGroup> &all = groups(service);
    const auto found = std::ranges::find(all, group, &EngineGroup::name);
    return found == all.end() ? nullptr : &*found;
}

std::string EngineGroupCache::groupOf(const Backend &engine)
{
    (void)groups(engine.record.service);
    const auto found = m_groupByEngine.find(engine.record.id);
    return found == m_groupByEngine.end() ? std::string() : found->second;
}

} // namespace apricotarch
