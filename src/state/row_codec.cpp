#include "apricotarch/state/row_codec.h"

#include <array>
#include <optional>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr std::array<const char *, 3> RoleNames = {"mixed", "prefill", "decode"};
constexpr std::array<const char *, 4> ClaimStateNames = {"dispatched", "not_sent", "unknown", "done"};

template<typename Enum, std::size_t Count>
std::optional<Enum> fromName(const std::array<const char *, Count> &names, std::string_view name)
{
    for (std::size_t index = 0; index < Count; ++index) {
        if (name == names.at(index)) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

json::object encodeSender(const PendingSender &sender)
{
    return {{"node", sender.node.value()},
        {"incarnation", sender.incarnation.value()},
        {"engine_incarnation", sender.engineIncarnation.value()},
        {"fence", sender.fencingToken.value()}};
}

Result<PendingSender> decodeSender(const json::value &value)
{
    JsonObjectReader object(value, "order.decode_sender", "table");
    PendingSender sender;
    sender.node = NodeId(object.text("node"));
    sender.incarnation = Incarnation(object.number("incarnation"));
    sender.engineIncarnation = Incarnation(object.number("engine_incarnation"));
    sender.fencingToken = FencingToken(object.number("fence"));
    return object.finish(sender);
}

} // namespace

const char *roleName(EngineRole role) noexcept
{
    return RoleNames.at(static_cast<std::size_t>(role));
}

json::object encodeTarget(const EngineTarget &target)
{
    return {{"model", target.model.model},
        {"adapter", target.model.adapter},
        {"version", target.model.version},
        {"role", roleName(target.role)}};
}

Result<EngineTarget> decodeTarget(const json::value &value, const std::string &step, const std::string &peer)
{
    JsonObjectReader object(value, step, peer);
    EngineTarget target;
    target.model = {object.text("model"), object.text("adapter"), object.text("version")};
    const auto role = fromName<EngineRole>(RoleNames, object.text("role"));
    if (!role) {
        object.reportFault("role", "mixed, prefill or decode");
    }
    target.role = role.value_or(EngineRole::Mixed);
    return object.finish(target);
}

std::string encodeLease(const LeaseRow &row)
{
    return json::serialize(json::object{{"holder", row.holder.value()},
        {"incarnation", row.incarnation.value()},
        {"token", row.token.value()},
        {"renewals", row.renewals.value()},
        {"attempt", row.attempt.value()}});
}

Result<LeaseRow> decodeLease(std::string_view text)
{
    const Result<json::value> value = parseJson(text, "lease.decode", "table");
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "lease.decode", "table");
    LeaseRow row;
    row.holder = NodeId(object.text("holder"));
    row.incarnation = Incarnation(object.number("incarnation"));
    row.token = FencingToken(object.number("token"));
    row.renewals = RenewalCounter(object.number("renewals"));
    row.attempt = WriteAttemptId(object.text("attempt"));
    return object.finish(row);
}

std::string encodeOrder(const OrderRow &row)
{
    json::array pending;
    for (const PendingSender &sender : row.pending) {
        pending.push_back(encodeSender(sender));
    }
    return json::serialize(json::object{{"number", row.number.value()},
        {"target", encodeTarget(row.target)},
        {"open", row.open},
        {"fence", row.fencingToken.value()},
        {"lease_token", row.leaseToken.value()},
        {"pending", pending},
        {"attempt", row.attempt.value()}});
}

Result<OrderRow> decodeOrder(std::string_view text)
{
    const Result<json::value> value = parseJson(text, "order.decode", "table");
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "order.decode", "table");
    OrderRow row;
    row.number = OrderNumber(object.number("number"));
    row.open = object.flag("open");
    row.fencingToken = FencingToken(object.number("fence"));
    row.leaseToken = FencingToken(object.number("lease_token"));
    row.attempt = WriteAttemptId(object.text("attempt"));
    const Result<EngineTarget> target = decodeTarget(object.value("target"), "order.decode", "table");
    if (!target) {
        return Failure(target.error());
    }
    row.target = *target;
    for (const json::value &entry : object.list("pending")) {
        const Result<PendingSender> sender = decodeSender(entry);
        if (!sender) {
            return Failure(sender.error());
        }
        row.pending.push_back(*sender);
    }
    return object.finish(row);
}

std::string encodeClaim(const ClaimRow &row)
{
    return json::serialize(json::object{{"state", ClaimStateNames.at(static_cast<std::size_t>(row.state))},
        {"content", row.content.value()},
        {"owner", row.owner.value()},
        {"owner_incarnation", row.ownerIncarnation.value()},
        {"replica", row.replica.value()},
        {"status", row.result.status},
        {"content_type", row.result.contentType},
        {"body", row.result.body},
        {"attempt", row.attempt.value()}});
}

Result<ClaimRow> decodeClaim(std::string_view text)
{
    const Result<json::value> value = parseJson(text, "claim.decode", "table");
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "claim.decode", "table");
    ClaimRow row;
    const auto state = fromName<ClaimState>(ClaimStateNames, object.text("state"));
    if (!state) {
        object.reportFault("state", "dispatched, not_sent, unknown or done");
    }
    row.state = state.value_or(ClaimState::Dispatched);
    row.content = ContentHash(object.number("content"));
    row.owner = NodeId(object.text("owner"));
    row.ownerIncarnation = Incarnation(object.number("owner_incarnation"));
    row.replica = ReplicaId(object.text("replica"));
    row.result.status = static_cast<int>(object.number("status"));
    row.result.contentType = object.text("content_type");
    row.result.body = object.text("body");
    row.attempt = WriteAttemptId(object.text("attempt"));
    return object.finish(row);
}

std::string encodeConfigurationRow(const ConfigurationRow &row)
{
    json::array electorate;
    for (const Elector &elector : row.electorate) {
        electorate.push_back(json::object{{"node", elector.node.value()}, {"incarnation", elector.incarnation.value()}});
    }
    return json::serialize(json::object{
        {"version", row.version.value()}, {"digest", row.digest.value()}, {"electorate", electorate}, {"attempt", row.attempt.value()}});
}

Result<ConfigurationRow> decodeConfigurationRow(std::string_view text)
{
    const Result<json::value> value = parseJson(text, "config.decode_row", "table");
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "config.decode_row", "table");
    ConfigurationRow row;
    row.version = ConfigurationVersion(object.number("version"));
    row.digest = Digest(object.text("digest"));
    row.attempt = WriteAttemptId(object.text("attempt"));
    for (const json::value &entry : object.list("electorate")) {
        JsonObjectReader elector(entry, "config.decode_row", "table");
        row.electorate.push_back({NodeId(elector.text("node")), Incarnation(elector.number("incarnation"))});
        if (!elector.finish()) {
            object.reportFault("electorate", "a list of nodes with incarnations");
        }
    }
    return object.finish(row);
}

} // namespace apricotarch
