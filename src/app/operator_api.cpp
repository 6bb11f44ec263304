#include "apricotarch/app/operator_api.h"

#include <array>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/crypto.h>

#include "apricotarch/app/request_admission.h"
#include "apricotarch/state/configuration_codec.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr std::array<const char *, 4> HealthNames = {"unknown", "up", "suspect", "leaving"};
constexpr std::array<const char *, 3> FreshnessNames = {"current", "undecided", "unknown"};

json::object encodeMember(const MemberView &member, TimePoint now)
{
    return {{"node", member.last.node.value()},
        {"incarnation", member.last.incarnation.value()},
        {"zone", member.last.zone.value()},
        {"address", member.last.callerAddress.text()},
        {"status", memberStatusName(member.status)},
        {"reason", member.reason},
        {"heard_ms_ago", toMilliseconds(now - member.lastHeartbeatAt)},
        {"configuration_version", member.last.configuration.version.value()},
        {"load_share", member.last.loadShare}};
}

json::object encodeReplica(const ReplicaView &view, TimePoint now)
{
    json::object object{{"id", view.spec.id.value()},
        {"service", view.service.value()},
        {"address", view.spec.address.text()},
        {"zone", view.spec.zone.value()},
        {"health", HealthNames.at(static_cast<std::size_t>(view.health))},
        {"vm_leaving", view.vmShuttingDown},
        {"own_requests", view.localLoad.requests},
        {"peer_requests", view.remoteLoad.requests}};
    if (view.report) {
        object["reported_ms_ago"] = toMilliseconds(now - view.reportedAt);
        object["state"] = encodeTarget(view.report->state);
        object["changing"] = view.report->changingStage;
        object["running"] = view.report->running;
        object["slots"] = view.report->slots;
        object["free_kv_pieces"] = view.report->freeKvBlocks.value();
    }
    return object;
}

json::object encodeLeaseState(Node &node)
{
    json::object object{{"held_here", node.lease().authority().has_value()}};
    const std::optional<LeaseRow> row = node.lease().lastObservedRow();
    if (row) {
        object["holder"] = row->holder.value();
        object["token"] = row->token.value();
    }
    return object;
}

json::object encodeDecision(const Decision &decision)
{
    return {{"sequence", decision.sequence},
        {"age_ms", decision.ageMs},
        {"subject", decision.subject},
        {"seen", decision.seen},
        {"weighed", decision.weighed},
        {"chosen", decision.chosen}};
}

json::object encodeConfigurationState(Node &node)
{
    const auto inForce = node.configuration().inForce();
    json::object object{{"currency", FreshnessNames.at(static_cast<std::size_t>(node.configuration().freshness()))}};
    object["version"] = inForce ? inForce->committed.row.version.value() : 0;
    object["digest"] = inForce ? inForce->committed.row.digest.value() : std::string();
    object["epoch"] = inForce ? inForce->committed.epoch.packed() : 0;
    const auto age = node.configuration().storeAge();
    object["store_read_ms_ago"] = age ? json::value(age->count()) : json::value(nullptr);
    return object;
}

} // namespace

bool hasOperatorToken(const Node &node, const HttpRequest &request)
{
    const std::string requestToken = bearerToken(request);
    const std::string &token = node.settings().operatorToken;
    return requestToken.size() == token.size() && CRYPTO_memcmp(requestToken.data(), token.data(), token.size()) == 0;
}

std::string encodeStatus(Node &node)
{
    const TimePoint now = node.clock().now();
    json::array members;
    for (const MemberView &member : node.members().view(now)) {
        members.push_back(encodeMember(member, now));
    }
    json::array replicas;
    for (const ReplicaView &view : node.replicas().all()) {
        replicas.push_back(encodeReplica(view, now));
    }
    return json::serialize(json::object{{"node", node.self().node.value()},
        {"incarnation", node.self().incarnation.value()},
        {"zone", node.settings().zone.value()},
        {"draining", node.isDraining()},
        {"requests_in_flight", node.admission().inFlight()},
        {"configuration", encodeConfigurationState(node)},
        {"lease", encodeLeaseState(node)},
        {"members", members},
        {"replicas", replicas}});
}

std::optional<DecisionKind> parseDecisionKind(std::string_view name) noexcept
{
    constexpr std::array Kinds = {
        DecisionKind::Order, DecisionKind::Lease, DecisionKind::Configuration, DecisionKind::Member, DecisionKind::Request};
    for (const DecisionKind kind : Kinds) {
        if (name == decisionKindName(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

asio::awaitable<std::string> readRowText(Node &node, DecisionKind kind, std::string subject)
{
    if (subject.empty() || (kind != DecisionKind::Order && kind != DecisionKind::Lease)) {
        co_return std::string();
    }
    const RowKey key{decisionKindName(kind), std::move(subject)};
    const auto row = co_await node.table().read(key);
    co_return row &&*row ? (*row)->text : std::string();
}

std::string encodeExplanation(Node &node, DecisionKind kind, const std::string &subject, const std::string &rowText)
{
    json::array decisions;
    for (const Decision &decision : node.decisions().find(kind, subject)) {
        decisions.push_back(encodeDecision(decision));
    }
    json::object object{{"node", node.self().node.value()}, {"kind", decisionKindName(kind)}, {"decisions", decisions}};
    if (!rowText.empty()) {
        json::error_code code;
        object["table_row"] = json::parse(rowText, code);
    }
    return json::serialize(object);
}

std::string encodeActiveConfiguration(Node &node)
{
    const auto inForce = node.configuration().inForce();
    if (!inForce) {
        return "null";
    }
    return json::serialize(json::object{{"version", inForce->committed.row.version.value()},
        {"digest", inForce->committed.row.digest.value()},
        {"configuration", json::parse(encodeConfiguration(inForce->configuration))}});
}

std::string encodeValidationErrors(const ValidationErrors &errors)
{
    json::array list;
    for (const ValidationError &error : errors) {
        list.push_back(json::object{{"line", error.line}, {"key", error.key}, {"message", error.message}});
    }
    return json::serialize(json::object{{"faults", list}});
}

} // namespace apricotarch
