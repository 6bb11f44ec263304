#include "apricotarch/state/replica_table.h"

#include <algorithm>
#include <set>

namespace apricotarch
{

namespace
{

constexpr std::chrono::milliseconds InitialSuspectPause{250}; // after the first failure
constexpr int MaxPauseDoublings = 5; // longest pause: 8 s

void add(Outstanding &sum, Tokens prompt, Tokens output)
{
    ++sum.requests;
    sum.prompt += prompt;
    sum.output += output;
}

void subtract(Outstanding &sum, Tokens prompt, Tokens output)
{
    sum.requests = std::max(0, sum.requests - 1);
    sum.prompt = std::max(Tokens(0), sum.prompt - prompt);
    sum.output = std::max(Tokens(0), sum.output - output);
}

} // namespace

ReplicaTable::Shard &ReplicaTable::shardOf(const ReplicaId &id)
{
    return m_shards.at(std::hash<ReplicaId>()(id) % ShardCount);
}

const ReplicaTable::Shard &ReplicaTable::shardOf(const ReplicaId &id) const
{
    return m_shards.at(std::hash<ReplicaId>()(id) % ShardCount);
}

void ReplicaTable::dropDispatchesUpTo(Entry &entry, TimePoint upTo)
{
    while (!entry.recent.empty() && entry.recent.front().at <= upTo) {
        subtract(entry.view.sinceReport, entry.recent.front().prompt, entry.recent.front().output);
        entry.recent.pop_front();
    }
}

template<typename Update>
void ReplicaTable::updateEntry(const ReplicaId &id, Update update)
{
    Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.replicas.find(id);
    if (found != shard.replicas.end()) {
        update(found->second);
    }
}

void ReplicaTable::setReplicas(const Configuration &configuration)
{
    std::set<ReplicaId> configured;
    for (const ServiceSpec &service : configuration.services) {
        for (const ReplicaSpec &spec : service.replicas) {
            configured.insert(spec.id);
            Shard &shard = shardOf(spec.id);
            const std::lock_guard lock(shard.mutex);
            ReplicaView &view = shard.replicas[spec.id].view;
            view.spec = spec;
            view.service = service.id;
        }
    }
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        std::erase_if(shard.replicas, [&configured](const auto &entry) {
            return !configured.contains(entry.first);
        });
    }
}

void ReplicaTable::handleLoadReport(const ReplicaId &id, const LoadReport &report, TimePoint requestedAt)
{
    updateEntry(id, [&](Entry &entry) {
        ReplicaView &view = entry.view;
        view.report = report;
        view.reportedAt = requestedAt;
        dropDispatchesUpTo(entry, requestedAt - MaxReportAge);
        view.health = report.shuttingDown ? ReplicaHealth::ShuttingDown : ReplicaHealth::Up;
        view.failures = 0;
    });
}

void ReplicaTable::handleFailure(const ReplicaId &id, TimePoint now)
{
    updateEntry(id, [now](Entry &entry) {
        ReplicaView &view = entry.view;
        view.suspectUntil = now + InitialSuspectPause * (1 << std::min(view.failures, MaxPauseDoublings));
        ++view.failures;
        view.health = ReplicaHealth::Suspect;
    });
}

void ReplicaTable::setVmShuttingDown(const ReplicaId &id, bool shuttingDown)
{
    updateEntry(id, [shuttingDown](Entry &entry) {
        ReplicaView &view = entry.view;
        view.vmShuttingDown = shuttingDown;
    });
}

void ReplicaTable::setRemoteLoad(const ReplicaId &id, const Outstanding &outstanding)
{
    updateEntry(id, [&outstanding](Entry &entry) {
        ReplicaView &view = entry.view;
        view.remoteLoad = outstanding;
    });
}

void ReplicaTable::addDispatch(const ReplicaId &id, Tokens prompt, Tokens output, TimePoint now)
{
    updateEntry(id, [&](Entry &entry) {
        dropDispatchesUpTo(entry, now - MaxDispatchAge);
        add(entry.view.localLoad, prompt, output);
        add(entry.view.sinceReport, prompt, output);
        entry.recent.push_back({now, prompt, output});
    });
}

void ReplicaTable::removeDispatch(const ReplicaId &id, Tokens prompt, Tokens output, bool answered)
{
    updateEntry(id, [&](Entry &entry) {
        ReplicaView &view = entry.view;
        subtract(view.localLoad, prompt, output);
        if (answered) {
            view.failures = 0;
        }
    });
}

template<typename Predicate>
std::vector<ReplicaView> ReplicaTable::select(Predicate matches) const
{
    std::vector<ReplicaView> selected;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[id, entry] : shard.replicas) {
            if (matches(entry.view)) {
                selected.push_back(entry.view);
            }
        }
    }
    return selected;
}

std::vector<ReplicaView> ReplicaTable::replicas(const ServiceId &service) const
{
    return select([&service](const ReplicaView &view) {
        return view.service == service;
    });
}

std::optional<ReplicaView> ReplicaTable::replica(const ReplicaId &id) const
{
    const Shard &shard = shardOf(id);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.replicas.find(id);
    if (found == shard.replicas.end()) {
        return std::nullopt;
    }
    return found->second.view;
}

std::vector<ReplicaView> ReplicaTable::all() const
{
    return select([](const ReplicaView &) {
        return true;
    });
}

} // namespace apricotarch
