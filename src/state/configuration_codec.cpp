#include "apricotarch/state/configuration_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/hash.h"
#include "apricotarch/base/json_object.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr const char *Step = "config.decode";

template<typename Items, typename Encode>
json::array encodeAll(const Items &items, Encode encode)
{
    json::array list;
    for (const auto &item : items) {
        list.push_back(encode(item));
    }
    return list;
}

/// Decodes every entry of a list. Returns the first error if an entry is invalid.
template<typename T>
Result<std::vector<T>> decodeAll(
    const json::array &list, const std::string &peer, Result<T> (*decode)(const json::value &, const std::string &))
{
    std::vector<T> items;
    for (const json::value &entry : list) {
        Result<T> item = decode(entry, peer);
        if (!item) {
            return Failure(item.error());
        }
        items.push_back(std::move(*item));
    }
    return items;
}

json::object encodeReplica(const ReplicaSpec &replica)
{
    return {{"id", replica.id.value()},
        {"address", replica.address.text()},
        {"zone", replica.zone.value()},
        {"checks_fencing", replica.checksFencing}};
}

Result<ReplicaSpec> decodeReplica(const json::value &value, const std::string &peer)
{
    JsonObjectReader object(value, Step, peer);
    ReplicaSpec replica;
    replica.id = ReplicaId(object.text("id"));
    replica.zone = ZoneId(object.text("zone"));
    replica.checksFencing = object.flag("checks_fencing");
    const Result<Endpoint> address = parseEndpoint(object.text("address"));
    if (!address) {
        object.reportFault("address", "an address of the form IP:PORT");
    }
    replica.address = address.value_or(Endpoint());
    return object.finish(replica);
}

json::object encodeOperation(const OperationSpec &operation)
{
    return {{"name", operation.name},
        {"method", operation.method},
        {"path", operation.path},
        {"idempotent", operation.idempotent},
        {"lookup_path", operation.lookupPath}};
}

Result<OperationSpec> decodeOperation(const json::value &value, const std::string &peer)
{
    JsonObjectReader object(value, Step, peer);
    OperationSpec operation;
    operation.name = object.text("name");
    operation.method = object.text("method");
    operation.path = object.text("path");
    operation.idempotent = object.flag("idempotent");
    operation.lookupPath = object.text("lookup_path");
    return object.finish(operation);
}

json::object encodeService(const ServiceSpec &service)
{
    return {{"id", service.id.value()},
        {"kind", service.kind == ServiceKind::Language ? "language" : "application"},
        {"deadline_ms", service.deadline.count()},
        {"first_token_ms", service.firstToken.count()},
        {"model", service.model.model},
        {"adapter", service.model.adapter},
        {"model_version", service.model.version},
        {"max_prompt", service.maxPrompt.value()},
        {"max_output", service.maxOutput.value()},
        {"continue_elsewhere", service.continueElsewhere},
        {"operations", encodeAll(service.operations, encodeOperation)},
        {"replicas", encodeAll(service.replicas, encodeReplica)}};
}

Result<ServiceSpec> decodeService(const json::value &value, const std::string &peer)
{
    JsonObjectReader object(value, Step, peer);
    ServiceSpec service;
    service.id = ServiceId(object.text("id"));
    service.kind = object.text("kind") == "language" ? ServiceKind::Language : ServiceKind::Application;
    service.deadline = std::chrono::milliseconds(object.number("deadline_ms"));
    service.firstToken = std::chrono::milliseconds(object.number("first_token_ms"));
    service.model = {object.text("model"), object.text("adapter"), object.text("model_version")};
    service.maxPrompt = Tokens(object.number("max_prompt"));
    service.maxOutput = Tokens(object.number("max_output"));
    service.continueElsewhere = object.flag("continue_elsewhere");
    auto operations = decodeAll(object.list("operations"), peer, decodeOperation);
    auto replicas = decodeAll(object.list("replicas"), peer, decodeReplica);
    if (!operations || !replicas) {
        return Failure(operations ? replicas.error() : operations.error());
    }
    service.operations = std::move(*operations);
    service.replicas = std::move(*replicas);
    return object.finish(service);
}

json::object encodeCaller(const CallerSpec &caller)
{
    return {{"id", caller.id.value()}, {"key_sha256", caller.keySha256}, {"services", encodeAll(caller.services, [](const ServiceId &id) {
                                                                              return json::value(id.value());
                                                                          })}};
}

Result<ServiceId> decodeServiceId(const json::value &value, const std::string &peer)
{
    if (!value.is_string()) {
        return fail(ErrorId::InvalidField, Step, peer, "field 'services' must be a list of service ids");
    }
    return ServiceId(std::string(value.get_string()));
}

Result<CallerSpec> decodeCaller(const json::value &value, const std::string &peer)
{
    JsonObjectReader object(value, Step, peer);
    CallerSpec caller;
    caller.id = CallerId(object.text("id"));
    caller.keySha256 = object.text("key_sha256");
    auto services = decodeAll(object.list("services"), peer, decodeServiceId);
    if (!services) {
        return Failure(services.error());
    }
    caller.services = std::move(*services);
    return object.finish(caller);
}

} // namespace

std::string encodeConfiguration(const Configuration &configuration)
{
    return json::serialize(json::object{{"desk", configuration.installation},
        {"role_change_price", configuration.policy.roleChangePrice},
        {"goodput_floor", configuration.policy.goodputFloor},
        {"services", encodeAll(configuration.services, encodeService)},
        {"callers", encodeAll(configuration.callers, encodeCaller)}});
}

Result<Configuration> decodeConfiguration(std::string_view text, const std::string &peer)
{
    const Result<json::value> value = parseJson(text, Step, peer);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, Step, peer);
    Configuration configuration;
    configuration.installation = object.text("desk");
    configuration.policy = {object.real("role_change_price"), object.real("goodput_floor")};
    auto services = decodeAll(object.list("services"), peer, decodeService);
    auto callers = decodeAll(object.list("callers"), peer, decodeCaller);
    if (!services || !callers) {
        return Failure(services ? callers.error() : services.error());
    }
    configuration.services = std::move(*services);
    configuration.callers = std::move(*callers);
    return object.finish(configuration);
}

Digest configurationDigest(std::string_view text)
{
    return Digest(sha256Hex(text));
}

} // namespace apricotarch
