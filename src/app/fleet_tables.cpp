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

/// Servers whose rows a restored store has lost write them again within two seconds of its return; the rest is for the rows' way to this
/// node.
constexpr Duration RewriteTime = std::chrono::milliseconds(3500);

/// The platform removes the row of a silent server within this time, also a row that a restore has brought back.
constexpr Duration SilentRemovalTime = std::chrono::seconds(12);

/// Position of a server's row in the sequence of its writes, by the server's own counters, which a restore of the store does not reset.
std::pair<std::int64_t, std::int64_t> ownOrder(const BackendRecord &record)
{
    return {record.startedAt, record.renewals};
}

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
            applyPlan(row.text, "store");
        }
    }
}

bool FleetTables::applyPlan(const std::string &text, const char *source)
{
    if (text == m_planText) {
        return false;
    }
    Result<RoutingPlan> plan = m_decoders.decodeRoutingPlan(text);
    if (!plan) {
        LogEvent("plan.unreadable", LogEvent::Level::Error).field("source", source).error(plan.error());
        return false;
    }
    if (plan->version() < m_state.plan->version()) {
        LogEvent("plan.older", LogEvent::Level::Warning)
            .field("plan", plan->version())
            .field("in_force", m_state.plan->version())
            .field("source", source);
        m_state.metrics.increment(CounterFamily::Configurations, "older");
        return false;
    }
    if (plan->version() == m_state.plan->version()) {
        return false;
    }
    LogEvent("plan.adopted")
        .field("plan", plan->version())
        .field("before", m_state.plan->version())
        .field("source", source)
        .field("routes", plan->routes().size());
    m_state.metrics.increment(CounterFamily::Configurations, "adopted");
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

void FleetTables::applyServerRows(const std::vector<StoredRow> &rows, StorePosition version, bool isFullTable)
{
    if (isFullTable) {
        markMissingRemoved(rows, version);
    }
    for (const StoredRow &row : rows) {
        KnownServer &known = m_serverRows[row.key];
        const bool isKnown = !known.row.key.empty();
        if (isKnown && row.version <= known.row.version) {
            continue; // A peer has sent a newer row while the answer with this one was under way.
        }
        if (isKnown && row.version.incarnation() > known.row.version.incarnation() && isOlderCopy(row, known)) {
            // Only the position advances, so that the server's next write is recognized as newer.
            known.row.version = row.version;
            if (known.row.removed) {
                known.disregardedCopy = row.text;
            }
            LogEvent("server.older_copy").field("server", row.key).field("row_version", row.version);
            continue;
        }
        // Unreadable rows are kept too, so that peers do not get an older row of the server.
        replaceRow(known, row);
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
    const StorePosition before = m_serversVersion;
    // Nodes compare the positions of rows, since the store's own version also grows without a change of this table.
    for (const auto &[key, known] : m_serverRows) {
        m_serversVersion = std::max(m_serversVersion, known.row.version);
    }
    if (isFullTable) {
        m_serversVersion = std::max(m_serversVersion, {version.incarnation(), RowVersion()});
    }
    if (before.exists() && m_serversVersion.incarnation() != before.incarnation()) {
        m_restoredAt = m_state.clock.now();
        m_removesUnconfirmed = true;
        m_usesDisregarded = true;
    }
    m_state.notifyUrgentChange();
}

void FleetTables::replaceRow(KnownServer &known, const StoredRow &row)
{
    if (!row.removed) {
        known.lastText = row.text;
    }
    known.row = row;
    known.disregardedCopy.clear();
}

bool FleetTables::isOlderCopy(const StoredRow &row, const KnownServer &known) const
{
    if (row.removed) {
        return false;
    }
    const Result<BackendRecord> record = m_decoders.decodeServer(row.key, row.text);
    const Result<BackendRecord> last = m_decoders.decodeServer(row.key, known.lastText);
    if (!last) {
        return known.row.removed; // The row may precede the removal that was read, as this node has read none before.
    }
    // A server that has left is back only with a row that it has written since.
    return !record || ownOrder(*record) < ownOrder(*last) || (known.row.removed && ownOrder(*record) == ownOrder(*last));
}

void FleetTables::settleAfterRestore()
{
    if (!m_restoredAt) {
        return;
    }
    const Duration age = m_state.clock.now() - *m_restoredAt;
    if (age >= RewriteTime && std::exchange(m_removesUnconfirmed, false)) {
        removeUnconfirmed();
    }
    if (age >= SilentRemovalTime && std::exchange(m_usesDisregarded, false)) {
        useDisregardedCopies();
    }
}

void FleetTables::removeUnconfirmed()
{
    for (auto &[key, known] : m_serverRows) {
        if (!known.row.removed && known.row.version.incarnation() < m_serversVersion.incarnation()) {
            LogEvent("server.not_written_again", LogEvent::Level::Warning).field("server", key).field("row_version", known.row.version);
            replaceRow(known, {key, "", m_serversVersion, true});
            m_state.backends.remove(ReplicaId(key), m_state.clock.now(), m_restoredAt);
        }
    }
    m_state.notifyUrgentChange();
}

void FleetTables::useDisregardedCopies()
{
    for (auto &[key, known] : m_serverRows) {
        if (known.disregardedCopy.empty()) {
            continue;
        }
        LogEvent("server.kept_by_store", LogEvent::Level::Warning).field("server", key).field("row_version", known.row.version);
        replaceRow(known, {key, std::exchange(known.disregardedCopy, {}), known.row.version, false});
        if (const std::optional<BackendRecord> record = decodeOrRemove(known.row)) {
            updateServer(*record, known.row.version);
        }
    }
    m_state.notifyUrgentChange();
}

void FleetTables::markMissingRemoved(const std::vector<StoredRow> &rows, StorePosition version)
{
    std::set<std::string> present;
    for (const StoredRow &row : rows) {
        present.insert(row.key);
    }
    for (auto &[key, known] : m_serverRows) {
        const StoredRow &row = known.row;
        // A row of an earlier incarnation may be written again, see settleAfterRestore().
        const bool isUnconfirmed = row.version.incarnation() < version.incarnation();
        if (!row.removed && !isUnconfirmed && row.version <= version && !present.contains(key)) {
            logRemoval(key, version);
            replaceRow(known, {key, "", version, true});
        }
    }
}

void FleetTables::replaceServers(StorePosition version)
{
    std::vector<BackendRecord> records;
    for (const auto &[key, known] : m_serverRows) {
        if (known.row.removed) {
            continue;
        }
        if (std::optional<BackendRecord> record = decodeOrRemove(known.row)) {
            records.push_back(std::move(*record));
        }
    }
    m_state.backends.replaceAll(records, m_state.clock.now());
    LogEvent("servers.read").field("servers", records.size()).field("row_version", version);
}

void FleetTables::logRemoval(const std::string &key, StorePosition version) const
{
    const TimePoint now = m_state.clock.now();
    LogEvent("server.removed")
        .field("server", key)
        .field("row_version", version)
        .field("missing_ms", toMilliseconds(now - m_state.backends.currency().missingSince(now)));
}

std::optional<BackendRecord> FleetTables::decodeOrRemove(const StoredRow &row)
{
    if (row.removed) {
        logRemoval(row.key, row.version);
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

void FleetTables::updateServer(const BackendRecord &record, StorePosition version)
{
    if (m_state.backends.update(record, m_state.clock.now())) {
        LogEvent("server.changed")
            .field("server", record.id)
            .field("service", record.service)
            .field("version", record.softwareVersion)
            .field("state", static_cast<int>(record.state))
            .field("stage", static_cast<int>(record.stage))
            .field("row_version", version);
    }
}

// ---- peers ----

Result<void> FleetTables::applySnapshot(const FleetSnapshot &snapshot, const FleetSnapshotRequest &request)
{
    if (request.serversVersion && snapshot.serversVersion > m_serversVersion) {
        const bool isFullTable =
            !request.serversVersion->exists() || request.serversVersion->incarnation() < snapshot.serversVersion.incarnation();
        applyServerRows(snapshot.servers, snapshot.serversVersion, isFullTable);
        m_serversVersion = std::max(m_serversVersion, snapshot.serversVersion);
    }
    if (!snapshot.plan.empty()) {
        applyPlan(snapshot.plan, "peer");
    }
    if (!snapshot.compressedPlan.empty() && snapshot.planVersion > planVersion()) {
        const Result<std::string> text = decompressText(snapshot.compressedPlan, MaxPlanBytes, "plan.decompress", "");
        if (!text) {
            return Failure(text.error());
        }
        if (applyPlan(*text, "peer")) {
            m_compressedPlan = snapshot.compressedPlan;
        }
    }
    return {};
}

FleetSnapshot FleetTables::makeSnapshot(const FleetSnapshotRequest &request)
{
    FleetSnapshot snapshot;
    snapshot.planVersion = planVersion();
    snapshot.serversVersion = m_serversVersion;
    if (request.planVersion && *request.planVersion < planVersion()) {
        if (request.acceptsCompressedPlan && m_compressedPlan.empty()) {
            m_compressedPlan = compressText(m_planText);
        }
        (request.acceptsCompressedPlan ? snapshot.compressedPlan : snapshot.plan) =
            request.acceptsCompressedPlan ? m_compressedPlan : m_planText;
    }
    if (!request.serversVersion) {
        return snapshot;
    }
    const bool isFirstRequest = !request.serversVersion->exists();
    const bool precedesRestore = request.serversVersion->incarnation() < m_serversVersion.incarnation();
    for (const auto &[key, known] : m_serverRows) {
        const bool isNewer = precedesRestore || known.row.version > *request.serversVersion;
        if (isNewer && !(isFirstRequest && known.row.removed)) {
            snapshot.servers.push_back(known.row);
        }
    }
    return snapshot;
}

} // namespace apricotarch
