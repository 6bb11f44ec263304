#include "apricotarch/protocol/questionnaire.h"

#include <algorithm>
#include <map>
#include <set>

#include "apricotarch/protocol/yaml_map.h"

namespace apricotarch
{

namespace
{

constexpr int FormatVersion = 1;
constexpr NumberRange DeadlineMs{10, 600'000};
constexpr NumberRange TokenCount{1, 1'000'000};
constexpr NumberRange Percent{0, 100};
constexpr NumberRange Price{0, 1'000'000};
constexpr std::size_t Sha256Digits = 64;

/// Answers on-time that one role change is worth, by what the desk prefers, where the questionnaire names no price.
constexpr std::int64_t PriceWhenGoodputPreferred = 5;
constexpr std::int64_t PriceWhenFewChangesPreferred = 60;

DeskPolicy readPolicy(YamlMap &root)
{
    YamlMap value = root.map("value");
    const bool fewChanges = value.word("prefer", {"goodput", "few_role_changes"}) == "few_role_changes";
    const std::int64_t usual = fewChanges ? PriceWhenFewChangesPreferred : PriceWhenGoodputPreferred;
    DeskPolicy policy;
    policy.roleChangePrice = static_cast<double>(value.numberOr("role_change_price", Price, usual));
    policy.goodputFloor = static_cast<double>(value.number("goodput_floor_percent", Percent)) / 100.0;
    value.refuseUnknown();
    return policy;
}

ReplicaSpec readReplica(YamlMap &map, bool engine)
{
    ReplicaSpec replica;
    replica.id = ReplicaId(map.text("id"));
    replica.zone = ZoneId(map.text("zone"));
    const std::string address = map.text("address");
    const Result<Endpoint> endpoint = parseEndpoint(address);
    if (endpoint) {
        replica.address = *endpoint;
    } else if (!address.empty()) {
        map.fault("address", "must be IP:PORT, for example 10.0.3.7:8000");
    }
    if (engine) {
        replica.checksFencing = map.flag("checks_fencing");
    }
    map.refuseUnknown();
    return replica;
}

std::vector<ReplicaSpec> readReplicas(YamlMap &service, bool engines)
{
    std::vector<ReplicaSpec> replicas;
    for (YamlMap &map : service.maps("replicas")) {
        replicas.push_back(readReplica(map, engines));
    }
    return replicas;
}

ServiceSpec readLanguageService(YamlMap &map)
{
    ServiceSpec service;
    service.kind = ServiceKind::Language;
    service.id = ServiceId(map.text("id"));
    service.deadline = std::chrono::milliseconds(map.number("answer_within_ms", DeadlineMs));
    service.firstToken = std::chrono::milliseconds(map.number("first_words_within_ms", DeadlineMs));
    service.maxPrompt = Tokens(map.number("longest_prompt_tokens", TokenCount));
    service.maxOutput = Tokens(map.number("longest_answer_tokens", TokenCount));
    service.model = {map.text("model"), map.textOr("adapter", ""), map.text("version")};
    service.continueElsewhere = map.flagOr("may_continue_on_another_engine", true);
    service.replicas = readReplicas(map, true);
    if (service.firstToken > service.deadline) {
        map.fault("first_words_within_ms", "must not be longer than answer_within_ms");
    }
    map.refuseUnknown();
    return service;
}

OperationSpec readOperation(YamlMap &map)
{
    OperationSpec operation;
    operation.name = map.text("name");
    operation.method = map.word("method", {"GET", "POST", "PUT", "DELETE"});
    operation.path = map.text("path");
    operation.idempotent = map.flag("may_be_repeated");
    operation.lookupPath = map.textOr("look_up_path", "");
    if (!operation.path.empty() && operation.path.front() != '/') {
        map.fault("path", "must begin with /");
    }
    if (!operation.lookupPath.empty() && operation.lookupPath.front() != '/') {
        map.fault("look_up_path", "must begin with /");
    }
    if (operation.method == "GET" && !operation.idempotent) {
        map.fault("may_be_repeated", "a GET has to be repeatable; use POST for a call that is not");
    }
    map.refuseUnknown();
    return operation;
}

ServiceSpec readApplicationService(YamlMap &map)
{
    ServiceSpec service;
    service.kind = ServiceKind::Application;
    service.id = ServiceId(map.text("id"));
    service.deadline = std::chrono::milliseconds(map.number("answer_within_ms", DeadlineMs));
    std::set<std::string> names;
    for (YamlMap &operation : map.maps("operations")) {
        service.operations.push_back(readOperation(operation));
        if (!names.insert(service.operations.back().name).second) {
            operation.fault("name", "is used by another operation of this service");
        }
    }
    service.replicas = readReplicas(map, false);
    map.refuseUnknown();
    return service;
}

CallerSpec readCaller(YamlMap &map, const std::set<ServiceId> &services)
{
    CallerSpec caller;
    caller.id = CallerId(map.text("id"));
    caller.keySha256 = map.text("key_sha256");
    const bool hexadecimal = std::ranges::all_of(caller.keySha256, [](char symbol) {
        return (symbol >= '0' && symbol <= '9') || (symbol >= 'a' && symbol <= 'f');
    });
    if (!caller.keySha256.empty() && (caller.keySha256.size() != Sha256Digits || !hexadecimal)) {
        map.fault("key_sha256", "must be 64 small hexadecimal digits; `apricotarch callers hash` prints them");
    }
    for (const std::string &service : map.texts("services")) {
        caller.services.emplace_back(service);
        if (!services.contains(ServiceId(service))) {
            map.fault("services", "'" + service + "' is not a service of this questionnaire");
        }
    }
    map.refuseUnknown();
    return caller;
}

template<typename Id>
void refuseSecond(std::set<Id> &seen, const Id &id, YamlMap &map)
{
    if (!id.empty() && !seen.insert(id).second) {
        map.fault("id", "'" + id.value() + "' is used twice");
    }
}

/// Reads the services of one kind and notes ids that stand twice.
void readServices(std::vector<YamlMap> maps, ServiceSpec (*read)(YamlMap &), std::set<ServiceId> &seen, std::vector<ServiceSpec> &services)
{
    for (YamlMap &map : maps) {
        services.push_back(read(map));
        refuseSecond(seen, services.back().id, map);
    }
}

void readCallers(YamlMap &root, const std::set<ServiceId> &services, std::vector<CallerSpec> &callers)
{
    std::set<CallerId> seen;
    std::set<std::string> keys;
    for (YamlMap &map : root.maps("callers")) {
        callers.push_back(readCaller(map, services));
        refuseSecond(seen, callers.back().id, map);
        if (!callers.back().keySha256.empty() && !keys.insert(callers.back().keySha256).second) {
            map.fault("key_sha256", "is the key of another caller too");
        }
    }
}

void checkReplicas(const std::vector<ServiceSpec> &services, Faults &faults)
{
    std::set<ReplicaId> ids;
    std::set<Endpoint> addresses;
    for (const ServiceSpec &service : services) {
        for (const ReplicaSpec &replica : service.replicas) {
            const std::string key = service.id.value() + ".replicas";
            if (!replica.id.empty() && !ids.insert(replica.id).second) {
                faults.push_back({0, key, "replica id '" + replica.id.value() + "' is used twice"});
            }
            if (replica.address.port != 0 && !addresses.insert(replica.address).second) {
                faults.push_back({0, key, "address " + replica.address.text() + " is used twice"});
            }
        }
    }
}

} // namespace

tl::expected<Configuration, Faults> generateConfiguration(const std::string &text)
{
    Faults faults;
    std::optional<YamlMap> root = parseYamlMap(text, faults);
    if (!root) {
        return tl::unexpected(faults);
    }
    Configuration configuration;
    (void)root->number("questionnaire", {FormatVersion, FormatVersion});
    configuration.desk = root->text("desk");
    (void)root->text("trade");
    configuration.policy = readPolicy(*root);
    std::set<ServiceId> services;
    readServices(root->mapsOr("language_services"), readLanguageService, services, configuration.services);
    readServices(root->mapsOr("application_services"), readApplicationService, services, configuration.services);
    if (configuration.services.empty()) {
        root->fault("language_services", "there must be at least one service, here or under application_services");
    }
    readCallers(*root, services, configuration.callers);
    checkReplicas(configuration.services, faults);
    root->refuseUnknown();
    if (!faults.empty()) {
        return tl::unexpected(faults);
    }
    return configuration;
}

std::string blankQuestionnaire()
{
    return R"(# Answers of one desk. Check them with: apricotarch questionnaire check FILE
questionnaire: 1

# Who you are, and what trade you answer for.
desk:
trade:

value:
  # What weighs more when the mix of work shifts: goodput, or few_role_changes.
  prefer: goodput
  # Optional: how many on-time answers one role change is worth to you (0 to 1000000).
  # role_change_price: 5
  # Share of the offered work, in percent, that planned changes must leave on time.
  goodput_floor_percent: 80

# Services answered by model engines.
language_services:
  - id:
    # The whole answer, and its first words, in milliseconds after the question.
    answer_within_ms:
    first_words_within_ms:
    longest_prompt_tokens:
    longest_answer_tokens:
    model:
    # adapter:
    version:
    # Whether an answer whose engine is lost may be continued by another engine from the text so far.
    may_continue_on_another_engine: true
    replicas:
      - id:
        address: # IP:PORT
        zone: # availability zone
        # Whether this engine refuses an order with an old fencing token.
        checks_fencing:

# Services answered by your own applications, bookings for instance.
application_services:
  - id:
    answer_within_ms:
    operations:
      - name:
        method: POST
        path:
        # false for a call that must run at most once.
        may_be_repeated: false
        # Optional: a GET path that tells, by key, whether a call was run.
        # look_up_path:
    replicas:
      - id:
        address:
        zone:

# Who calls. Print the hash of a key with: apricotarch callers hash
callers:
  - id:
    key_sha256:
    services: []
)";
}

} // namespace apricotarch
