#include "apricotarch/state/backend.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace apricotarch
{

namespace
{

constexpr std::chrono::milliseconds InitialAvoidance{200}; ///< Longer than a round trip and a reconnection.
constexpr int MaxDoublings = 4; ///< Limits the time for which a server is avoided to 3.2 s.
constexpr Duration MinRateReportInterval = std::chrono::seconds(1); ///< Statements of a server are passed on at least this far apart.
constexpr std::chrono::seconds RemovedRetention{30}; ///< Longer than any answer that may still be in progress.

bool executesRequests(const BackendPointer &backend)
{
    return backend->executesRequests();
}

} // namespace

void Backend::recordFailure(TimePoint now)
{
    const int doublings = std::min(failures, MaxDoublings);
    ++failures;
    avoidUntil = now + InitialAvoidance * (1 << doublings);
}

void Backend::dropStatementsOfPreviousProcess(TimePoint now, std::optional<TimePoint> tableCurrentAsOf)
{
    // A lost connection shows that it was one to the previous process. It does not show that this process ended then: servers also drop
    // idle connections.
    previousProcessConnectedAt = std::exchange(connectionLostAt, std::nullopt);
    if (previousProcessConnectedAt && tableCurrentAsOf) {
        previousProcessConnectedAt = std::max(*previousProcessConnectedAt, *tableCurrentAsOf - BackendTable::RegistrationTime);
    }
    const auto isOfPreviousProcess = [this](TimePoint connectedAt) {
        return !previousProcessConnectedAt || connectedAt <= *previousProcessConnectedAt;
    };
    shutdownUnconfirmedSince.reset();
    if (isOfPreviousProcess(shutdownConnectedAt)) {
        shutdownStatedAt.reset();
    } else if (shutdownStatedAt) {
        shutdownUnconfirmedSince = now;
    }
    if (isOfPreviousProcess(declineConnectedAt)) {
        declinesUntil = now;
    }
    if (isOfPreviousProcess(rateStatement.connectedAt)) {
        rateStatement = RequestRateStatement();
    }
}

void Backend::updateLeavingTime(bool newProcess, TimePoint now)
{
    if (!record.remaining) {
        leavesAt.reset();
        return;
    }
    // Each entry gives an upper bound, since an unknown time has passed since it was written.
    const TimePoint latest = now + *record.remaining;
    leavesAt = newProcess ? latest : std::min(leavesAt.value_or(latest), latest);
}

bool BackendTable::update(const BackendRecord &record, TimePoint now)
{
    BackendPointer &backend = m_backends[record.id];
    if (!backend) {
        backend = new Backend();
        backend->record = record;
        backend->processKnownSince = now;
        backend->updateLeavingTime(true, now);
        backend->cache.resize(m_cacheTokens[record.service]);
        m_byService[record.service].push_back(backend);
        ++m_revision;
        return true;
    }
    BackendRecord &current = backend->record;
    if (record.startedAt < current.startedAt) {
        return false; // Written by an earlier process of the server.
    }
    const bool restarted = record.startedAt != current.startedAt;
    const bool changed = restarted || current.state != record.state || current.stage != record.stage || current.address != record.address
        || current.service != record.service || current.softwareVersion != record.softwareVersion
        || current.remaining.has_value() != record.remaining.has_value();
    if (restarted) {
        backend->cache.clear();
        backend->failures = 0;
        backend->speedFactor = 1;
        backend->avoidUntil = now;
        backend->processKnownSince = now;
        backend->dropStatementsOfPreviousProcess(now, m_currency.currentAsOf());
    }
    if (current.service != record.service) {
        std::erase(m_byService[current.service], backend);
        m_byService[record.service].push_back(backend);
    }
    if (current.stage != record.stage) {
        backend->stageChangeUntil = now;
        backend->stageChangedAt = now;
    }
    current = record;
    backend->updateLeavingTime(restarted, now);
    m_revision += changed ? 1 : 0;
    return changed;
}

bool BackendTable::recordShutdownStatement(const ReplicaId &id, const StatementOrigin &origin, TimePoint now)
{
    const BackendPointer backend = findProcess(id, origin);
    if (!backend) {
        return false;
    }
    const bool isConfirmed = backend->processKnownSince <= origin.requestSentAt;
    if (isConfirmed) {
        backend->shutdownUnconfirmedSince.reset();
    }
    if (backend->shutdownStatedAt) {
        return false;
    }
    backend->shutdownStatedAt = now;
    backend->shutdownConnectedAt = origin.connectedAt;
    if (!isConfirmed) {
        backend->shutdownUnconfirmedSince = now;
    }
    return true;
}

std::vector<ReplicaId> BackendTable::dropRefutedShutdowns()
{
    std::vector<ReplicaId> refuted;
    for (const auto &[id, backend] : m_backends) {
        const std::optional<TimePoint> since = backend->shutdownUnconfirmedSince;
        if (since && backend->record.state == BackendState::Ready && m_currency.isCurrentSince(*since + ShutdownReportTime)) {
            backend->shutdownStatedAt.reset();
            backend->shutdownUnconfirmedSince.reset();
            refuted.push_back(id);
        }
    }
    return refuted;
}

bool BackendTable::recordDecline(const ReplicaId &id, const StatementOrigin &origin, TimePoint until)
{
    const BackendPointer backend = findProcess(id, origin);
    if (!backend || backend->declinesUntil >= until) {
        return false;
    }
    backend->declinesUntil = until;
    backend->declineConnectedAt = origin.connectedAt;
    return true;
}

bool BackendTable::recordRequestRate(const ReplicaId &id, const StatementOrigin &origin, std::optional<double> perSecond, TimePoint now)
{
    const BackendPointer backend = findProcess(id, origin);
    if (!backend) {
        return false;
    }
    RequestRateStatement &known = backend->rateStatement;
    // An answer without a limit may have been sent before the limit began and have been delayed.
    if (!perSecond && (!known.perSecond || origin.requestSentAt <= *known.statedAt)) {
        return false;
    }
    const bool changed = known.perSecond != perSecond;
    known = {perSecond, now, origin.connectedAt};
    return changed;
}

bool BackendTable::mergeRequestRate(const ReportedRequestRate &report, TimePoint now)
{
    const BackendPointer backend = find(report.server);
    if (!backend || backend->record.startedAt != report.startedAt) {
        return false;
    }
    RequestRateStatement &known = backend->rateStatement;
    const TimePoint statedAt = now - report.age;
    const bool changed = known.perSecond != report.perSecond;
    // Each report adds the delay of its message to the time of the statement, so a slightly later time may be the same statement.
    if (known.statedAt && statedAt <= *known.statedAt + (changed ? Duration::zero() : MinRateReportInterval)) {
        return false;
    }
    known = {report.perSecond, statedAt, statedAt};
    return changed;
}

BackendPointer BackendTable::findProcess(const ReplicaId &id, const StatementOrigin &origin) const
{
    BackendPointer backend = find(id);
    if (!backend) {
        return nullptr;
    }
    // A request that was sent when the entry of a process had been read can only be answered by that process or a later one.
    const bool sentSince = backend->processKnownSince <= origin.requestSentAt;
    const bool connectedSince = backend->previousProcessConnectedAt && *backend->previousProcessConnectedAt < origin.connectedAt;
    return sentSince || connectedSince ? backend : nullptr;
}

void BackendTable::remove(const ReplicaId &id, TimePoint now, std::optional<TimePoint> missingSince)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end() || found->second->record.state == BackendState::Removed) {
        return;
    }
    Backend &backend = *found->second;
    // A server that has announced its shutdown does not return, so it gets no grace period after its removal.
    const bool wasShuttingDown = backend.record.state == BackendState::Draining || backend.statesShutdown();
    const TimePoint graceEnded = now - RemovedServerGracePeriod;
    backend.removedAt = wasShuttingDown ? graceEnded : std::max(missingSince.value_or(m_currency.missingSince(now)), graceEnded);
    backend.record.state = BackendState::Removed;
    ++m_revision;
}

void BackendTable::replaceAll(const std::vector<BackendRecord> &records, TimePoint now)
{
    std::set<ReplicaId> present;
    for (const BackendRecord &record : records) {
        present.insert(record.id);
        update(record, now);
    }
    for (const auto &[id, backend] : m_backends) {
        if (!present.contains(id)) {
            remove(id, now);
        }
    }
}

void BackendTable::eraseRemoved(TimePoint now)
{
    std::erase_if(m_backends, [&](const auto &entry) {
        const BackendPointer &backend = entry.second;
        const bool deletable = backend->record.state == BackendState::Removed && backend->localLoad.requests == 0
            && now - backend->removedAt > RemovedRetention;
        if (deletable) {
            std::erase(m_byService[backend->record.service], backend);
            ++m_revision;
        }
        return deletable;
    });
}

void BackendTable::resizeCaches(const ServiceId &service, std::int64_t tokens)
{
    m_cacheTokens[service] = tokens;
    for (const BackendPointer &backend : m_byService[service]) {
        backend->cache.resize(tokens);
    }
}

BackendPointer BackendTable::find(const ReplicaId &id) const
{
    const auto found = m_backends.find(id);
    return found == m_backends.end() ? nullptr : found->second;
}

std::vector<BackendPointer> BackendTable::ready(const ServiceId &service) const
{
    std::vector<BackendPointer> ready;
    if (const auto found = m_byService.find(service); found != m_byService.end()) {
        std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(ready), [](const BackendPointer &backend) {
            return backend->record.state == BackendState::Ready;
        });
    }
    return ready;
}

std::vector<BackendPointer> BackendTable::selectUsable(
    const ServiceId &service, TimePoint now, const std::optional<SoftwareVersion> &version) const
{
    std::vector<BackendPointer> ready;
    std::vector<BackendPointer> shuttingDown;
    std::vector<BackendPointer> leaving;
    std::vector<BackendPointer> recentlyRemoved;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return ready;
    }
    for (const BackendPointer &backend : found->second) {
        const bool hasVersion = !version || backend->record.softwareVersion == *version;
        if (!hasVersion || backend->declines(now) || !backend->rateShare.isAvailable(now)) {
            continue;
        }
        if (backend->record.state == BackendState::Ready && backend->stageChangeUntil <= now) {
            if (!backend->statesShutdown()) {
                if (!backend->leavesAt) {
                    ready.push_back(backend);
                } else if (*backend->leavesAt > now) {
                    leaving.push_back(backend);
                }
            } else if (now - *backend->shutdownStatedAt < ShutdownGracePeriod) {
                shuttingDown.push_back(backend);
            }
        } else if (backend->record.state == BackendState::Removed && !backend->statesShutdown()
            && now - backend->removedAt < RemovedServerGracePeriod) {
            recentlyRemoved.push_back(backend);
        }
    }
    if (std::ranges::none_of(ready, executesRequests)) {
        std::ranges::copy(leaving, std::back_inserter(ready));
    }
    if (std::ranges::none_of(ready, executesRequests)) {
        std::ranges::copy_if(shuttingDown, std::back_inserter(ready), executesRequests);
    }
    return ready.empty() ? recentlyRemoved : ready;
}

bool BackendTable::isUsable(const BackendPointer &server, TimePoint now, const std::optional<SoftwareVersion> &version) const
{
    const std::vector<BackendPointer> usable = selectUsable(server->record.service, now, version);
    return std::ranges::find(usable, server) != usable.end();
}

Duration BackendTable::remainingDeclineTime(const ServiceId &service, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const BackendPointer &backend : ready(service)) {
        if (executesRequests(backend) && !backend->statesShutdown()) {
            const TimePoint usableAt =
                std::max({backend->declinesUntil, backend->stageChangeUntil, now + backend->rateShare.waitTime(now)});
            earliest = std::min(earliest.value_or(TimePoint::max()), usableAt);
        }
    }
    return earliest ? std::max<Duration>(*earliest - now, Duration::zero()) : Duration::zero();
}

} // namespace apricotarch
