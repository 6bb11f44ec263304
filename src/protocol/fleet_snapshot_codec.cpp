#include <limits>
#include <utility>

#include "apricotarch/protocol/front_codec.h"
#include "apricotarch/protocol/thrift_bytes.h"

#include "peer_types.h"

namespace apricotarch
{

namespace
{

/// Version in a FleetSnapshotRequest of a table that is not requested.
constexpr std::int64_t NotRequested = std::numeric_limits<std::int64_t>::max();

void writeRows(std::vector<wire::StoredRow> &messages, const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        wire::StoredRow message;
        message.key = row.key;
        message.text = row.text;
        message.version = row.version.packed();
        message.removed = row.removed;
        messages.push_back(std::move(message));
    }
}

void readRows(std::vector<StoredRow> &rows, std::vector<wire::StoredRow> &messages)
{
    for (wire::StoredRow &message : messages) {
        rows.push_back({std::move(message.key), std::move(message.text), StorePosition::unpack(message.version), message.removed});
    }
}

} // namespace

std::string encodeFleetSnapshotRequest(const FleetSnapshotRequest &request)
{
    wire::FleetSnapshotRequest message;
    message.sender = request.sender.value();
    message.planVersion = request.planVersion ? request.planVersion->value() : NotRequested;
    message.serversVersion = request.serversVersion ? request.serversVersion->packed() : NotRequested;
    message.__set_acceptsCompressedPlan(request.acceptsCompressedPlan);
    return toThriftBytes(message);
}

Result<FleetSnapshotRequest> decodeFleetSnapshotRequest(std::string_view bytes, const std::string &peer)
{
    const auto message = fromThriftBytes<wire::FleetSnapshotRequest>(bytes, "fleet_snapshot_request.decode", peer);
    if (!message) {
        return Failure(message.error());
    }
    FleetSnapshotRequest request;
    request.sender = NodeId(message->sender);
    request.acceptsCompressedPlan = message->acceptsCompressedPlan;
    if (message->planVersion != NotRequested) {
        request.planVersion = ConfigurationVersion(message->planVersion);
    }
    if (message->serversVersion != NotRequested) {
        request.serversVersion = StorePosition::unpack(message->serversVersion);
    }
    return request;
}

std::string encodeFleetSnapshot(const FleetSnapshot &snapshot)
{
    wire::FleetSnapshot message;
    message.planVersion = snapshot.planVersion.value();
    message.plan = snapshot.plan;
    message.serversVersion = snapshot.serversVersion.packed();
    writeRows(message.servers, snapshot.servers);
    writeRows(message.nodes, snapshot.nodes);
    if (!snapshot.compressedPlan.empty()) {
        message.__set_compressedPlan(snapshot.compressedPlan);
    }
    if (snapshot.busy) {
        message.__set_busy(true);
    }
    return toThriftBytes(message);
}

Result<FleetSnapshot> decodeFleetSnapshot(std::string_view bytes, const std::string &peer)
{
    Result<wire::FleetSnapshot> message = fromThriftBytes<wire::FleetSnapshot>(bytes, "fleet_snapshot.decode", peer);
    if (!message) {
        return Failure(message.error());
    }
    FleetSnapshot snapshot;
    snapshot.planVersion = ConfigurationVersion(message->planVersion);
    snapshot.plan = std::move(message->plan);
    snapshot.serversVersion = StorePosition::unpack(message->serversVersion);
    readRows(snapshot.servers, message->servers);
    readRows(snapshot.nodes, message->nodes);
    snapshot.compressedPlan = std::move(message->compressedPlan);
    snapshot.busy = message->busy;
    return snapshot;
}

} // namespace apricotarch
