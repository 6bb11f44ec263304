#pragma once

/**
 * @file
 * Division of a service's engines into groups, so that the cost of placing a prompt does not grow with the number of engines.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "apricotarch/state/backend.h"

namespace apricotarch
{

/// A group of engines, all of one availability zone if its zone has enough of them, so that KV transfers stay within it.
struct EngineGroup
{
    std::string name; ///< Unique within the service; the same on all nodes that know the same engines.
    std::vector<BackendPointer> engines;
};

/**
 * Divides engines into groups of about 12 to 24. All nodes that know the same engines get the same groups. An engine that is added or
 * removed changes only its own group, unless the number of groups changes.
 */
[[nodiscard]] std::vector<EngineGroup> divideIntoGroups(const std::vector<BackendPointer> &engines);

/**
 * Orders groups for a prompt: by their engine that rendezvous hashing prefers most for it, so that the groups receive prompts in
 * proportion to their size. Linear in the number of engines.
 * @param groups groups without usable engines are dropped
 * @param affinityKey see promptAffinityKey()
 * @return indices into @p groups
 */
[[nodiscard]] std::vector<std::size_t> rankGroups(const std::vector<EngineGroup> &groups, std::uint64_t affinityKey);

/// The groups of all services, divided again only after the table of servers has changed. Not thread-safe; used on one event loop.
class EngineGroupCache
{
public:
    /// @param backends the table of servers; must outlive this object
    explicit EngineGroupCache(const BackendTable &backends);

    /// Returns the groups of a service's ready engines.
    [[nodiscard]] const std::vector<EngineGroup> &groups(const ServiceId &service);

    /// Returns a group by its name, or null if there is none.
    [[nodiscard]] const EngineGroup *find(const ServiceId &service, const std::string &group);

    /// Returns the name of the group that contains an engine; empty if there is none.
    [[nodiscard]] std::string groupOf(const Backend &engine);

private:
    const BackendTable &m_backends;
    std::uint64_t m_revision = 0;
    std::map<ServiceId, std::vector<EngineGroup>> m_groups;
    std::map<ReplicaId, std::string> m_groupByEngine;
};

} // namespace apricotarch
