#include "apricotarch/protocol/engine_codec.h"

#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"
#include "apricotarch/state/row_codec.h"

namespace apricotarch
{

namespace json = boost::json;

std::string encodeLoad(const LoadReport &report)
{
    return json::serialize(json::object{{"incarnation", report.incarnation.value()},
        {"leaving", report.shuttingDown},
        {"changing", report.changingStage},
        {"state", encodeTarget(report.state)},
        {"running", report.running},
        {"slots", report.slots},
        {"queued_prefill_tokens", report.queuedPrefill.value()},
        {"free_kv_pieces", report.freeKvBlocks.value()},
        {"total_kv_pieces", report.totalKvBlocks.value()},
        {"prefill_tokens_per_second", report.prefillRate},
        {"decode_tokens_per_second", report.decodeRate}});
}

Result<LoadReport> decodeLoad(std::string_view text, const std::string &peer)
{
    const Result<json::value> value = parseJson(text, "engine.decode_load", peer);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "engine.decode_load", peer);
    LoadReport report;
    report.incarnation = Incarnation(object.number("incarnation"));
    report.shuttingDown = object.flag("leaving");
    report.changingStage = object.flag("changing");
    report.running = static_cast<int>(object.number("running"));
    report.slots = static_cast<int>(object.number("slots"));
    report.queuedPrefill = Tokens(object.number("queued_prefill_tokens"));
    report.freeKvBlocks = KvBlocks(object.number("free_kv_pieces"));
    report.totalKvBlocks = KvBlocks(object.number("total_kv_pieces"));
    report.prefillRate = object.real("prefill_tokens_per_second");
    report.decodeRate = object.real("decode_tokens_per_second");
    const Result<EngineTarget> state = decodeTarget(object.value("state"), "engine.decode_load", peer);
    if (!state) {
        return Failure(state.error());
    }
    report.state = *state;
    return object.finish(report);
}

std::string encodeEngineOrder(const EngineOrder &order)
{
    return json::serialize(json::object{
        {"number", order.number.value()}, {"fencing_token", order.fencingToken.value()}, {"target", encodeTarget(order.target)}});
}

Result<EngineOrder> decodeEngineOrder(std::string_view text, const std::string &peer)
{
    const Result<json::value> value = parseJson(text, "engine.decode_order", peer);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "engine.decode_order", peer);
    EngineOrder order;
    order.number = OrderNumber(object.number("number"));
    order.fencingToken = FencingToken(object.number("fencing_token"));
    const Result<EngineTarget> target = decodeTarget(object.value("target"), "engine.decode_order", peer);
    if (!target) {
        return Failure(target.error());
    }
    order.target = *target;
    return object.finish(order);
}

} // namespace apricotarch
