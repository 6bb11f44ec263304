#include "apricotarch/coordination/configuration_manager.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "apricotarch/base/hash.h"
#include "apricotarch/base/log.h"
#include "apricotarch/state/configuration_codec.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace
{

constexpr const char *TableName = "config";
constexpr const char *RowName = "current";

Result<CommittedConfiguration> decode(const Row &row)
{
    const Result<ConfigurationRow> decoded = decodeConfigurationRow(row.text);
    if (!decoded) {
        return Failure(decoded.error());
    }
    return CommittedConfiguration{row.version, *decoded};
}

} // namespace

RowKey ConfigurationManager::rowKey()
{
    return {TableName, RowName};
}

ConfigurationManager::ConfigurationManager(Dependencies dependencies, ProcessId self, FreshnessTimes times, ChangeHandler onChange)
    : m_dependencies(dependencies)
    , m_self(std::move(self))
    , m_times(times)
    , m_onChange(std::move(onChange))
{
}

std::shared_ptr<const ActiveConfiguration> ConfigurationManager::inForce() const
{
    const std::lock_guard lock(m_mutex);
    return m_inForce;
}

AdoptionView ConfigurationManager::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

template<typename Update>
void ConfigurationManager::updateView(Update update)
{
    const std::lock_guard lock(m_mutex);
    m_view = update(m_view);
    if (!m_view.offer) {
        m_offered.reset();
    }
}

std::set<ProcessId> ConfigurationManager::reachableProcesses() const
{
    const TimePoint now = m_dependencies.clock.now();
    std::set<ProcessId> processes{m_self};
    for (const MemberView &member : m_dependencies.members.view(now)) {
        if (member.sentAfter && now - *member.sentAfter <= m_times.maxHeartbeatAge) {
            processes.insert({member.last.node, member.last.incarnation});
        }
    }
    return processes;
}

ConfigurationFreshness ConfigurationManager::freshness() const
{
    return evaluateFreshness(view(), reachableProcesses(), m_dependencies.clock.now(), m_times);
}

Admissibility ConfigurationManager::admissibility(const ServiceId &service) const
{
    const std::set<ProcessId> reachable = reachableProcesses();
    const std::lock_guard lock(m_mutex);
    if (!m_inForce || !m_view.committed) {
        return {nullptr, false, "not_ready"};
    }
    if (m_inForce->committed.row.version != m_view.committed->row.version) {
        return {m_inForce, false, "configuration_not_in_hand"};
    }
    switch (evaluateFreshness(m_view, reachable, m_dependencies.clock.now(), m_times)) {
    case ConfigurationFreshness::Current:
        return {m_inForce, true, ""};
    case ConfigurationFreshness::Undecided:
        if (m_offered && isSameService(m_inForce->configuration, *m_offered, service)) {
            return {m_inForce, true, ""};
        }
        return {m_inForce, false, "configuration_undecided"};
    case ConfigurationFreshness::Unknown:
        break;
    }
    return {m_inForce, false, "configuration_unknown"};
}

ConfigurationState ConfigurationManager::reportedState() const
{
    const std::lock_guard lock(m_mutex);
    ConfigurationState state;
    if (m_view.committed) {
        state.epoch = m_view.committed->epoch;
        state.version = m_view.committed->row.version;
        state.digest = m_view.committed->row.digest;
        state.ready = m_inForce && m_inForce->committed.row.version == state.version;
    }
    if (m_view.offer) {
        state.offerBase = m_view.offer->base;
        state.offerDigest = m_view.offer->digest;
    }
    return state;
}

std::optional<std::chrono::milliseconds> ConfigurationManager::storeAge() const
{
    const std::optional<TimePoint> at = view().storeReadAt;
    if (!at) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.clock.now() - *at);
}

std::optional<CommittedConfiguration> ConfigurationManager::committed() const
{
    return view().committed;
}

Result<std::string> ConfigurationManager::findLocalBody(const Digest &digest) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_bodies.find(digest);
    if (found == m_bodies.end()) {
        return fail(
            ErrorId::NotFound, "config.body", m_self.node.value(), "this node does not hold a body with the digest " + digest.value());
    }
    return found->second;
}

Result<void> ConfigurationManager::storeOffer(const ConfigurationOffer &offer)
{
    const Result<Configuration> decoded = decodeConfiguration(offer.body, "peer");
    if (!decoded || configurationDigest(offer.body) != offer.digest) {
        return fail(
            ErrorId::InvalidField, "config.hold", "peer", "the offered body is not a valid configuration or does not match its digest");
    }
    cacheBody(offer.digest, offer.body);
    const std::lock_guard lock(m_mutex);
    const StorePosition epoch = m_view.committed ? m_view.committed->epoch : StorePosition();
    if (offer.base < epoch) {
        return fail(ErrorId::Conflict,
            "config.hold",
            m_self.node.value(),
            "this node already has a configuration of a later epoch than the offer's base");
    }
    m_view = applyOffer(m_view, {offer.base, offer.digest, m_dependencies.clock.now()});
    m_offered = std::make_shared<const Configuration>(*decoded);
    return {};
}

void ConfigurationManager::cacheBody(const Digest &digest, std::string body)
{
    constexpr std::size_t MaxBodies = 8;
    const std::lock_guard lock(m_mutex);
    const auto isNeeded = [this](const Digest &cached) {
        return (m_view.committed && m_view.committed->row.digest == cached) || (m_view.offer && m_view.offer->digest == cached);
    };
    if (m_bodies.size() >= MaxBodies) {
        std::erase_if(m_bodies, [&](const auto &entry) {
            return !isNeeded(entry.first);
        });
    }
    m_bodies[digest] = std::move(body);
}

void ConfigurationManager::recordDecision(
    const CommittedConfiguration &committed, std::string seen, std::string weighed, const char *chosen)
{
    m_dependencies.metrics.increment(CounterFamily::Configurations, chosen);
    m_dependencies.decisions.add({.kind = DecisionKind::Configuration,
        .subject = std::to_string(committed.row.version.value()),
        .seen = std::move(seen),
        .weighed = std::move(weighed),
        .chosen = chosen});
}

asio::awaitable<Result<std::optional<CommittedConfiguration>>> ConfigurationManager::readRow()
{
    const TimePoint sentAt = m_dependencies.clock.now();
    const Result<std::optional<Row>> read = co_await m_dependencies.table.read(rowKey());
    if (!read) {
        m_dependencies.metrics.increment(CounterFamily::Configurations, "read_failed");
        co_return Failure(read.error());
    }
    std::optional<CommittedConfiguration> committed;
    if (*read) {
        const Result<CommittedConfiguration> decoded = decode(**read);
        if (!decoded) {
            co_return Failure(decoded.error());
        }
        committed = *decoded;
    }
    updateView([&](const AdoptionView &view) {
        return applyRead(view, committed, sentAt);
    });
    co_return committed;
}

asio::awaitable<void> ConfigurationManager::poll()
{
    const auto row = co_await readRow();
    co_await activateCommitted();
    if (row && *row && isOfferStale(view(), m_dependencies.clock.now(), m_times)) {
        co_await withdrawOffers(**row);
    }
}

asio::awaitable<void> ConfigurationManager::handleHeartbeat(Heartbeat heartbeat, std::optional<TimePoint> sentAfter)
{
    const ConfigurationState &reported = heartbeat.configuration;
    updateView([&](const AdoptionView &view) {
        return applyReportedEpoch(view, reported.epoch);
    });
    const auto local = committed();
    if (!local || reported.epoch > local->epoch) {
        const auto fetched = co_await m_dependencies.peers.fetchCommitted(heartbeat.peerAddress);
        if (fetched) {
            updateView([&](const AdoptionView &view) {
                return applyCommitted(view, *fetched);
            });
        }
        co_await activateCommitted();
    }
    if (heartbeat.storeAge && sentAfter) {
        updateView([&](const AdoptionView &view) {
            return applyRelayedRead(view, reported.epoch, *sentAfter - *heartbeat.storeAge);
        });
    }
    const std::optional<KnownOffer> offer = view().offer;
    const bool isNewOffer = reported.offerBase != StorePosition() && (!offer || offer->digest != reported.offerDigest);
    if (isNewOffer) {
        updateView([&](const AdoptionView &view) {
            return applyOffer(view, {reported.offerBase, reported.offerDigest, m_dependencies.clock.now()});
        });
        const auto body = co_await findBody(reported.offerDigest);
        if (body) {
            (void)storeOffer({reported.offerBase, reported.offerDigest, *body});
        }
    }
}

asio::awaitable<Result<std::string>> ConfigurationManager::findBody(Digest digest)
{
    Result<std::string> found = findLocalBody(digest);
    if (found) {
        co_return found;
    }
    for (const MemberView &member : m_dependencies.members.view(m_dependencies.clock.now())) {
        if (member.status != MemberStatus::Alive && member.status != MemberStatus::Draining) {
            continue;
        }
        const ConfigurationState &reported = member.last.configuration;
        const bool mayHoldBody = (reported.digest == digest && reported.ready) || reported.offerDigest == digest;
        if (!mayHoldBody) {
            continue;
        }
        found = co_await m_dependencies.peers.fetchBody(member.last.peerAddress, digest);
        if (found && configurationDigest(*found) == digest) {
            co_return found;
        }
    }
    found = co_await m_dependencies.objects.get(digest);
    if (found && configurationDigest(*found) != digest) {
        co_return fail(
            ErrorId::MalformedMessage, "config.find_body", "object store", "the object's content does not match the digest in its name");
    }
    co_return found;
}

asio::awaitable<void> ConfigurationManager::activateCommitted()
{
    const auto target = committed();
    const auto present = inForce();
    if (!target || (present && present->committed.epoch >= target->epoch)) {
        co_return;
    }
    const Result<std::string> text = co_await findBody(target->row.digest);
    if (!text) {
        m_dependencies.metrics.increment(CounterFamily::Configurations, "body_missing");
        LogEvent("config.body_missing", LogEvent::Level::Warning).field("version", target->row.version).error(text.error());
        co_return;
    }
    const Result<Configuration> decoded = decodeConfiguration(*text, "object store");
    if (!decoded) {
        LogEvent("config.body_malformed", LogEvent::Level::Error).field("version", target->row.version).error(decoded.error());
        co_return;
    }
    cacheBody(target->row.digest, *text);
    const auto activated = std::make_shared<const ActiveConfiguration>(ActiveConfiguration{*target, *decoded});
    {
        const std::lock_guard lock(m_mutex);
        if (m_inForce && m_inForce->committed.epoch >= target->epoch) {
            co_return;
        }
        m_inForce = activated;
    }
    const bool isNewVersion = !present || present->committed.row.version != target->row.version;
    if (isNewVersion) {
        recordDecision(*target,
            "the committed row has epoch " + target->epoch.text(),
            "previous version " + (present ? std::to_string(present->committed.row.version.value()) : std::string("none")),
            "in_force");
        notifyChange();
    }
}

void ConfigurationManager::notifyChange()
{
    const std::lock_guard lock(m_notifyMutex);
    m_onChange(*inForce());
}

std::vector<Elector> ConfigurationManager::currentElectorate() const
{
    std::vector<Elector> electorate{{m_self.node, m_self.incarnation}};
    for (const MemberView &member : m_dependencies.members.view(m_dependencies.clock.now())) {
        if (member.status == MemberStatus::Alive && member.last.node != m_self.node) {
            electorate.push_back({member.last.node, member.last.incarnation});
        }
    }
    std::ranges::sort(electorate);
    return electorate;
}

} // namespace apricotarch
