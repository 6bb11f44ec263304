#include "apricotarch/coordination/reported_loads.h"

namespace apricotarch
{

bool ReportedLoads::record(const LoadUpdate &update, TimePoint now)
{
    Report &report = m_reports[update.load.replica][update.peerAddress];
    if (report.incarnation == update.incarnation && update.sequence <= report.sequence) {
        return false;
    }
    report = {update.incarnation, update.sequence, update.load.load, now};
    return true;
}

BackendLoad ReportedLoads::sum(const ReplicaId &engine, const Endpoint &exceptNode, TimePoint now) const
{
    BackendLoad sum;
    const auto found = m_reports.find(engine);
    if (found == m_reports.end()) {
        return sum;
    }
    for (const auto &[node, report] : found->second) {
        if (node != exceptNode && now - report.receivedAt <= Timeout) {
            sum += report.load;
        }
    }
    return sum;
}

void ReportedLoads::removeExpired(TimePoint now)
{
    for (auto &[engine, reports] : m_reports) {
        std::erase_if(reports, [now](const auto &entry) {
            return now - entry.second.receivedAt > Timeout;
        });
    }
    std::erase_if(m_reports, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace apricotarch
