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

// Commits: offers to the members, and the row that is written after a majority holds the offer.

namespace apricotarch
{

namespace
{

constexpr std::chrono::milliseconds OfferPollInterval{5};
/// Time allowed for the answers of members beyond the majority, so that they do not have to fetch the body later.
constexpr std::chrono::milliseconds MinOfferDuration{200};
/// Time after which members that have not answered are not counted.
constexpr std::chrono::milliseconds OfferTimeout{1500};

} // namespace

asio::awaitable<void> ConfigurationManager::offerTo(std::shared_ptr<OfferProgress> progress, MemberView member, ConfigurationOffer offer)
{
    const Result<void> accepted = co_await m_dependencies.peers.offer(member.last.peerAddress, std::move(offer));
    if (accepted) {
        progress->holders.insert({member.last.node, member.last.incarnation});
    }
    --progress->unanswered;
}

asio::awaitable<std::shared_ptr<const ConfigurationManager::OfferProgress>> ConfigurationManager::offerToMembers(
    std::vector<Elector> electorate, ConfigurationOffer offer)
{
    const auto progress = std::make_shared<OfferProgress>();
    if (storeOffer(offer)) {
        progress->holders.insert(m_self);
    }
    const TimePoint startedAt = m_dependencies.clock.now();
    for (const Elector &elector : electorate) {
        const bool isPreviousProcessOfThisNode = elector.node == m_self.node && elector.incarnation < m_self.incarnation;
        if (isPreviousProcessOfThisNode || m_dependencies.members.hasEnded(elector.node, elector.incarnation, startedAt)) {
            progress->ended.insert({elector.node, elector.incarnation});
        }
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    for (const MemberView &member : m_dependencies.members.view(startedAt)) {
        if (member.status != MemberStatus::Gone && member.last.node != m_self.node) {
            ++progress->unanswered;
            asio::co_spawn(executor, offerTo(progress, member, offer), asio::detached);
        }
    }
    while (progress->unanswered > 0) {
        co_await m_dependencies.clock.sleep(OfferPollInterval);
        const Duration waited = m_dependencies.clock.now() - startedAt;
        const bool hasMajority = waited >= MinOfferDuration && offerHasMajority(electorate, progress->holders, progress->ended);
        if (hasMajority || waited >= OfferTimeout) {
            break;
        }
    }
    co_return progress;
}

asio::awaitable<Result<CommittedConfiguration>> ConfigurationManager::writeRow(const CommittedConfiguration &base, ConfigurationRow row)
{
    const RowWrite write{rowKey(), base.epoch, encodeConfigurationRow(row), std::nullopt};
    const WriteResult written = co_await writeConditionally(m_dependencies.table, m_dependencies.clock, write);
    const std::string peer = "table";
    switch (written.outcome) {
    case WriteOutcome::Written:
        co_return CommittedConfiguration{written.version, row};
    case WriteOutcome::Lost: {
        const Result<ConfigurationRow> winner = decodeConfigurationRow(written.text);
        const std::string version = winner ? std::to_string(winner->version.value()) : std::string("unknown");
        co_return fail(
            ErrorId::Conflict, "config.commit", peer, "another change was accepted first; base the change on version " + version);
    }
    case WriteOutcome::Superseded:
        co_return fail(ErrorId::OutcomeUnknown,
            "config.commit",
            peer,
            "later changes have been accepted, so the outcome of this one is unknown; read the configuration in force",
            Delivery::MaybeSent);
    case WriteOutcome::Unknown:
        break;
    }
    co_return fail(ErrorId::OutcomeUnknown,
        "config.commit",
        peer,
        "the table service did not answer; run `apricotarch config show` when it is available again: " + written.error.detail,
        Delivery::MaybeSent);
}

asio::awaitable<void> ConfigurationManager::withdrawOffers(CommittedConfiguration base)
{
    ConfigurationRow row = base.row;
    row.attempt = WriteAttemptId(generateUniqueId());
    const Result<CommittedConfiguration> written = co_await writeRow(base, row);
    m_dependencies.metrics.increment(CounterFamily::Configurations, written ? "offer_withdrawn" : "withdrawal_not_written");
    (void)co_await readRow();
    co_await activateCommitted();
}

asio::awaitable<Result<CommittedConfiguration>> ConfigurationManager::commit(
    CommittedConfiguration base, std::string body, Digest digest, bool isNewVersion)
{
    const ConfigurationOffer offer{base.epoch, digest, std::move(body)};
    const std::shared_ptr<const OfferProgress> progress = co_await offerToMembers(base.row.electorate, offer);
    if (!offerHasMajority(base.row.electorate, progress->holders, progress->ended)) {
        co_await withdrawOffers(base);
        co_return fail(ErrorId::NoMajority,
            "config.offer",
            "",
            std::to_string(progress->holders.size()) + " nodes hold the offer, but a majority of the "
                + std::to_string(base.row.electorate.size())
                + " electors is required; nothing was accepted. Try again when more nodes are reachable.");
    }
    ConfigurationRow row;
    row.version = isNewVersion ? base.row.version.next() : base.row.version;
    row.digest = digest;
    row.electorate = currentElectorate();
    row.attempt = WriteAttemptId(generateUniqueId());
    const Result<CommittedConfiguration> written = co_await writeRow(base, row);
    (void)co_await readRow();
    co_await activateCommitted();
    co_return written;
}

asio::awaitable<Result<CommittedConfiguration>> ConfigurationManager::accept(Configuration configuration, ConfigurationVersion base)
{
    const auto row = co_await readRow();
    if (!row) {
        co_return Failure(row.error());
    }
    const CommittedConfiguration present = row->value_or(CommittedConfiguration());
    if (present.row.version != base) {
        co_return fail(ErrorId::Conflict,
            "config.accept",
            "table",
            "the version in force is " + std::to_string(present.row.version.value()) + ", not " + std::to_string(base.value())
                + "; review what changed and submit again with the version in force as the base");
    }
    const std::string body = encodeConfiguration(configuration);
    const Digest digest = configurationDigest(body);
    const Result<void> stored = co_await m_dependencies.objects.put(digest, body);
    if (!stored) {
        co_return Failure(stored.error());
    }
    const Result<CommittedConfiguration> accepted = co_await commit(present, body, digest, true);
    if (accepted) {
        recordDecision(*accepted,
            "a questionnaire was submitted based on version " + std::to_string(base.value()),
            "electorate=" + std::to_string(present.row.electorate.size()),
            "accepted");
    } else {
        m_dependencies.metrics.increment(CounterFamily::Configurations, std::string("not_accepted_") + errorName(accepted.error().id));
    }
    co_return accepted;
}

bool ConfigurationManager::isOutsideElectorate() const
{
    const AdoptionView current = view();
    if (!current.committed) {
        return false;
    }
    const std::vector<Elector> &electorate = current.committed->row.electorate;
    return std::ranges::find(electorate, Elector{m_self.node, m_self.incarnation}) == electorate.end();
}

asio::awaitable<void> ConfigurationManager::refreshElectorate()
{
    const auto row = co_await readRow();
    const bool isOutdated = row && *row && (*row)->row.electorate != currentElectorate();
    if (!isOutdated) {
        co_return;
    }
    const CommittedConfiguration present = **row;
    const Result<std::string> text = co_await findBody(present.row.digest);
    if (!text) {
        co_return;
    }
    const Result<CommittedConfiguration> refreshed = co_await commit(present, *text, present.row.digest, false);
    m_dependencies.metrics.increment(CounterFamily::Configurations, refreshed ? "electorate_refreshed" : "electorate_not_refreshed");
}

} // namespace apricotarch
