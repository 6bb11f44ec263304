#include "apricotarch/coordination/service_versions.h"

namespace apricotarch
{

void ServiceVersions::update(const BackendTable &backends, TimePoint now)
{
    const std::optional<TimePoint> currentAsOf = backends.currency().currentAsOf();
    if (currentAsOf && m_currentAsOf && *currentAsOf - *m_currentAsOf > LongestGap) {
        m_observedSince = currentAsOf;
    }
    m_currentAsOf = currentAsOf;
    if (!m_observedSince || m_revision != backends.revision()) {
        m_observedSince = m_observedSince.value_or(now);
        m_revision = backends.revision();
        // Versions that leave with this change were present until now.
        std::map<ServiceId, VersionSet> present;
        for (const auto &[id, backend] : backends.all()) {
            if (backend->record.state != BackendState::Removed) {
                present[backend->record.service].insert(backend->record.softwareVersion);
            }
        }
        for (const auto &[service, versions] : m_present) {
            for (const SoftwareVersion &version : versions) {
                m_lastSeen[service][version] = now;
            }
        }
        m_present = std::move(present);
    }
    for (const auto &[service, versions] : m_present) {
        for (const SoftwareVersion &version : versions) {
            m_lastSeen[service][version] = now;
        }
    }
}

VersionSet ServiceVersions::servedSince(const ServiceId &service, TimePoint time) const
{
    VersionSet versions;
    if (const auto found = m_lastSeen.find(service); found != m_lastSeen.end()) {
        for (const auto &[version, lastSeen] : found->second) {
            if (lastSeen > time) {
                versions.insert(version);
            }
        }
    }
    return versions;
}

} // namespace apricotarch
