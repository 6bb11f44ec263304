#pragma once

/**
 * @file
 * The software versions that have served recently, by service, as seen in the table of servers.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/backend.h"

namespace apricotarch
{

using VersionSet = std::set<SoftwareVersion>;

/**
 * As long as only one version has served within the lifetime of a stream, each stream began at that version. A version counts until that
 * time after its last server has left. Not thread-safe; used on one event loop.
 */
class ServiceVersions
{
public:
    /// A version is in the table for longer than this, so that it is not missed between two times at which the table was current.
    static constexpr std::chrono::seconds LongestGap{5};

    /// Records the versions of the servers that are in the table. Linear in the number of servers if the table has changed.
    void update(const BackendTable &backends, TimePoint now);

    /// Returns the versions of which servers were in the table after a time.
    [[nodiscard]] VersionSet servedSince(const ServiceId &service, TimePoint time) const;

    /// Whether the table has been observed since a time without a considerable gap, so that servedSince() contains all versions that had
    /// joined when it was last current.
    [[nodiscard]] bool isObservedSince(TimePoint time) const noexcept
    {
        return m_observedSince && *m_observedSince <= time;
    }

private:
    std::optional<TimePoint> m_observedSince;
    std::optional<TimePoint> m_currentAsOf; ///< Of the table at the last update, see TableCurrency.
    std::uint64_t m_revision = 0; ///< Revision of the table at the last update.
    std::map<ServiceId, VersionSet> m_present; ///< Versions of the servers that are in the table.
    std::map<ServiceId, std::map<SoftwareVersion, TimePoint>> m_lastSeen;
};

} // namespace apricotarch
