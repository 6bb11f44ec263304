#include "apricotarch/app/fleet_tables.h"

#include <algorithm>
#include <set>
#include <utility>

#include "apricotarch/base/compression.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

/// Largest configuration that is accepted from a peer.
constexpr std::size_t MaxPlanBytes = 64UL * 1024 * 1024;

} // namespace

FleetTables::FleetTables(FrontState &state, RowDecoders decoders)
    : m_state(state)
    , m_decoders(std::move(decoders))
{
}

// ---- the configuration ----

void FleetTables::applyPlanRows(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.key == m_decoders.planKey && !row.removed) {
            applyPlan(row.text, row.version, "store");
        }
    }
}

bool FleetTables::applyPlan(const std::string &text, RowVersion version, const char *source)
{
    if (version <= m_planVersion) {
        return false;
    }
    Result<RoutingPlan> plan = m_decoders.decodeRoutingPlan(text);
    if (!plan) {
        LogEvent("plan.unreadable", LogEvent::Level::Error).field("row_version", version).error(plan.error());
        return false;
    }
    if (plan->version() < m_state.plan->version()) {
        LogEvent("plan.older", LogEvent::Level::Warning).field("plan", plan->version()).field("in_force", m_state.plan->version());
        return false;
    }
    LogEvent("plan.adopted")
        .field("plan", plan->version())
        .field("before", m_state.plan->version())
        .field("row_version", version)
        .field("source", source)
        .field("routes", plan->routes().size());
    m_state.metrics.increment(CounterFamily::Configurations, "adopted");
    m_planVersion = version;
    m_planText = text;
    m_compressedPlan.clear();
    m_state.plan = std::make_shared<RoutingPlan>(std::move(*plan));
    m_state.notifyUrgentChange();
    resizeCaches();
    return true;
}

void FleetTables::resizeCaches()
{
    for (const Route &route : m_state.plan->routes()) {
        for (const ServiceWeight &serviceWeight : route.services) {
            const RoutedService *service = m_state.plan->service(serviceWeight.service);
            if (service != nullptr && service->engine) {
                const double tokens = static_cast<double>(service->engine->kvTokens) * m_state.settings.engineCosts.prefixCacheShare;
                m_state.backends.resizeCaches(serviceWeight.service, static_cast<std::int64_t>(tokens));
            }
        }
    }
}

// ---- the servers ----

void FleetTables::applyServerRows(const std::vector<StoredRow> &rows, RowVersion version, bool isFullTable)
{
    if (isFullTable) {
        markMissingRemoved(rows, version);
    }
    for (const StoredRow &row : rows) {
        StoredRow &known = m_serverRows[row.key];
        if (row.version <= known.version && !known.key.empty()) {
            continue; // A peer has sent a newer row while the answer with this one was under way.
        }
        // Unreadable rows are kept too, so that peers do not get an older row of the server.
        known = row;
        if (isFullTable) {
            continue;
        }
        if (const std::optional<BackendRecord> record = decodeOrRemove(row)) {
            updateServer(*record, row.version);
        }
    }
    if (isFullTable) {
        replaceServers(version);
    }
    m_state.serversLoaded = true;
    // Nodes compare row versions, since the store's own version also grows without a change of this table.
    for (const auto &[key, row] : m_serverRows) {
        m_serversVersion = std::max(m_serversVersion, row.version);
    }
    m_state.notifyUrgentChange();
}

void FleetTables::markMissingRemoved(const std::vector<StoredRow> &rows, RowVersion version)
{
    std::set<std::string> present;
    for (const StoredRow &row : rows) {
        present.insert(row.key);
    }
    for (auto &[key, row] : m_serverRows) {
        if (!row.removed && row.version <= version && !present.contains(key)) {
            row = {key, "", version, true};
        }
    }
}

void FleetTables::replaceServers(RowVersion version)
{
    std::vector<BackendRecord> records;
    for (const auto &[key, row] : m_serverRows) {
        if (row.removed) {
            continue;
        }
        if (std::optional<BackendRecord> record = decodeOrRemove(row)) {
            records.push_back(std::move(*record));
        }
    }
    m_state.backends.replaceAll(records, m_state.clock.now());
    LogEvent("servers.read").field("servers", records.size()).field("row_version", version);
}

std::optional<BackendRecord> FleetTables::decodeOrRemove(const StoredRow &row)
{
    if (row.removed) {
        LogEvent("server.removed").field("server", row.key).field("row_version", row.version);
        m_state.backends.remove(ReplicaId(row.key), m_state.clock.now());
        return std::nullopt;
    }
    Result<BackendRecord> record = m_decoders.decodeServer(row.key, row.text);
    if (!record) {
        LogEvent("server.unreadable", LogEvent::Level::Warning).field("server", row.key).error(record.error());
        m_state.backends.remove(ReplicaId(row.key), m_state.clock.now());
        return std::nullopt;
    }
    return std::move(*record);
}

void FleetTables::updateServer(const BackendRecord &record, RowVersion version)
{
    if (m_state.backends.update(record, m_state.clock.now())) {
        LogEvent("server.changed")
            .field("server", record.id)
            .field("service", record.service)
            .field("state", static_cast<int>(record.state))
            .field("stage", static_cast<int>(record.stage))
            .field("row_version", version);
    }
}

// ---- peers ----

Result<void> FleetTables::applySnapshot(const FleetSnapshot &snapshot, const FleetSnapshotRequest &request)
{
    if (request.serversVersion && snapshot.serversVersion > m_serversVersion) {
        applyServerRows(snapshot.servers, snapshot.serversVersion, request.serversVersion->value() == 0);
        m_serversVersion = std::max(m_serversVersion, snapshot.serversVersion);
    }
    if (!snapshot.plan.empty()) {
        applyPlan(snapshot.plan, snapshot.planVersion, "peer");
    }
    if (!snapshot.compressedPlan.empty() && snapshot.planVersion > m_planVersion) {
        const Result<std::string> text = decompressText(snapshot.compressedPlan, MaxPlanBytes, "plan.decompress", "");
        if (!text) {
            return Failure(text.error());
        }
        if (applyPlan(*text, snapshot.planVersion, "peer")) {
            m_compressedPlan = snapshot.compressedPlan;
        }
    }
    return {};
}

FleetSnapshot FleetTables::makeSnapshot(const FleetSnapshotRequest &request)
{
    FleetSnapshot snapshot;
    snapshot.planVersion = m_planVersion;
    snapshot.serversVersion = m_serversVersion;
    if (request.planVersion && *request.planVersion < m_planVersion) {
        if (request.acceptsCompressedPlan && m_compressedPlan.empty()) {
            m_compressedPlan = compressText(m_planText);
        }
        (request.acceptsCompressedPlan ? snapshot.compressedPlan : snapshot.plan) =
            request.acceptsCompressedPlan ? m_compressedPlan : m_planText;
    }
    if (!request.serversVersion) {
        return snapshot;
    }
    const bool isFirstRequest = request.serversVersion->value() == 0;
    for (const auto &[key, row] : m_serverRows) {
        if (row.version > *request.serversVersion && !(isFirstRequest && row.removed)) {
            snapshot.servers.push_back(row);
        }
    }
    return snapshot;
}

} // namespace apricotarch
