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
constexpr NumberRange DeadlineMsRange{10, 600'000};
constexpr NumberRange TokenCountRange{1, 1'000'000};
constexpr NumberRange PercentRange{0, 100};
constexpr NumberRange RoleChangePriceRange{0, 1'000'000};
constexpr std::size_t Sha256Digits = 64;

/// Default cost of a role change in on-time answers, by the preference that the questionnaire states.
constexpr std::int64_t RoleChangePricePreferringGoodput = 5;
constexpr std::int64_t RoleChangePricePreferringFewChanges = 60;

RoleChangePolicy readRoleChangePolicy(YamlMap &root)
{
    YamlMap value = root.map("value");
    const bool prefersFewChanges = value.word("prefer", {"goodput", "few_role_changes"}) == "few_role_changes";
    const std::int64_t defaultPrice = prefersFewChanges ? RoleChangePricePreferringFewChanges : RoleChangePricePreferringGoodput;
    RoleChangePolicy policy;
    policy.roleChangePrice = static_cast<double>(value.numberOr("role_change_price", RoleChangePriceRange, defaultPrice));
    policy.goodputFloor = static_cast<double>(value.number("goodput_floor_percent", PercentRange)) / 100.0;
    value.reportUnknownKeys();
    return policy;
}

ReplicaSpec readReplica(YamlMap &map, bool isEngine)
{
    ReplicaSpec replica;
    replica.id = ReplicaId(map.text("id"));
    replica.zone = ZoneId(map.text("zone"));
    const std::string address = map.text("address");
    const Result<Endpoint> endpoint = parseEndpoint(address);
    if (endpoint) {
        replica.address = *endpoint;
    } else if (!address.empty()) {
        map.addError("address", "must be an address of the form IP:PORT, for example 10.0.3.7:8000");
    }
    if (isEngine) {
        replica.checksFencing = map.flag("checks_fencing");
    }
    map.reportUnknownKeys();
    return replica;
}

std::vector<ReplicaSpec> readReplicas(YamlMap &service, bool areEngines)
{
    std::vector<ReplicaSpec> replicas;
    for (YamlMap &map : service.maps("replicas")) {
        replicas.push_back(readReplica(map, areEngines));
    }
    return replicas;
}

ServiceSpec readLanguageService(YamlMap &map)
{
    ServiceSpec service;
    service.kind = ServiceKind::Language;
    service.id = ServiceId(map.text("id"));
    service.deadline = std::chrono::milliseconds(map.number("answer_within_ms", DeadlineMsRange));
    service.firstToken = std::chrono::milliseconds(map.number("first_words_within_ms", DeadlineMsRange));
    service.maxPrompt = Tokens(map.number("longest_prompt_tokens", TokenCountRange));
    service.maxOutput = Tokens(map.number("longest_answer_tokens", TokenCountRange));
    service.model = {map.text("model"), map.textOr("adapter", ""), map.text("version")};
    service.continueElsewhere = map.flagOr("may_continue_on_another_engine", true);
    service.replicas = readReplicas(map, true);
    if (service.firstToken > service.deadline) {
        map.addError("first_words_within_ms", "must not be greater than answer_within_ms");
    }
    map.reportUnknownKeys();
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
        map.addError("path", "must start with '/'");
    }
    if (!operation.lookupPath.empty() && operation.lookupPath.front() != '/') {
        map.addError("look_up_path", "must start with '/'");
    }
    if (operation.method == "GET" && !operation.idempotent) {
        map.addError("may_be_repeated", "must be true for GET; use POST for an operation that must not be repeated");
    }
    map.reportUnknownKeys();
    return operation;
}

ServiceSpec readApplicationService(YamlMap &map)
{
    ServiceSpec service;
    service.kind = ServiceKind::Application;
    service.id = ServiceId(map.text("id"));
    service.deadline = std::chrono::milliseconds(map.number("answer_within_ms", DeadlineMsRange));
    std::set<std::string> names;
    for (YamlMap &operation : map.maps("operations")) {
        service.operations.push_back(readOperation(operation));
        if (!names.insert(service.operations.back().name).second) {
            operation.addError("name", "is already used by another operation of this service");
        }
    }
    service.replicas = readReplicas(map, false);
    map.reportUnknownKeys();
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
        map.addError("key_sha256", "must be 64 lower-case hexadecimal digits; `apricotarch callers hash` prints the hash of a key");
    }
    for (const std::string &service : map.texts("services")) {
        caller.services.emplace_back(service);
        if (!services.contains(ServiceId(service))) {
            map.addError("services", "'" + service + "' is not a service of this questionnaire");
        }
    }
    map.reportUnknownKeys();
    return caller;
}

template<typename Id>
void rejectDuplicateId(std::set<Id> &seen, const Id &id, YamlMap &map)
{
    if (!id.empty() && !seen.insert(id).second) {
        map.addError("id", "'" + id.value() + "' is used more than once");
    }
}

/// Reads the services of one kind and reports duplicate ids.
void readServices(std::vector<YamlMap> maps, ServiceSpec (*read)(YamlMap &), std::set<ServiceId> &seen, std::vector<ServiceSpec> &services)
{
    for (YamlMap &map : maps) {
        services.push_back(read(map));
        rejectDuplicateId(seen, services.back().id, map);
    }
}

void readCallers(YamlMap &root, const std::set<ServiceId> &services, std::vector<CallerSpec> &callers)
{
    std::set<CallerId> seen;
    std::set<std::string> keys;
    for (YamlMap &map : root.maps("callers")) {
        callers.push_back(readCaller(map, services));
        rejectDuplicateId(seen, callers.back().id, map);
        if (!callers.back().keySha256.empty() && !keys.insert(callers.back().keySha256).second) {
            map.addError("key_sha256", "is already used by another caller");
        }
    }
}

void checkReplicas(const std::vector<ServiceSpec> &services, ValidationErrors &errors)
{
    std::set<ReplicaId> ids;
    std::set<Endpoint> addresses;
    for (const ServiceSpec &service : services) {
        for (const ReplicaSpec &replica : service.replicas) {
            const std::string key = service.id.value() + ".replicas";
            if (!replica.id.empty() && !ids.insert(replica.id).second) {
                errors.push_back({0, key, "replica id '" + replica.id.value() + "' is used more than once"});
            }
            if (replica.address.port != 0 && !addresses.insert(replica.address).second) {
                errors.push_back({0, key, "address " + replica.address.text() + " is used more than once"});
            }
        }
    }
}

} // namespace

tl::expected<Configuration, ValidationErrors> generateConfiguration(const std::string &text)
{
    ValidationErrors errors;
    std::optional<YamlMap> root = parseYamlMap(text, errors);
    if (!root) {
        return tl::unexpected(errors);
    }
    Configuration configuration;
    (void)root->number("questionnaire", {FormatVersion, FormatVersion});
    configuration.installation = root->text("desk");
    (void)root->text("trade");
    configuration.policy = readRoleChangePolicy(*root);
    std::set<ServiceId> services;
    readServices(root->mapsOr("language_services"), readLanguageService, services, configuration.services);
    readServices(root->mapsOr("application_services"), readApplicationService, services, configuration.services);
    if (configuration.services.empty()) {
        root->addError("language_services", "must contain at least one service unless application_services does");
    }
    readCallers(*root, services, configuration.callers);
    checkReplicas(configuration.services, errors);
    root->reportUnknownKeys();
    if (!errors.empty()) {
        return tl::unexpected(errors);
    }
    return configuration;
}

std::string blankQuestionnaire()
{
    return R"(# Questionnaire of one installation. Check it with: apricotarch questionnaire check FILE
questionnaire: 1

# Name of the installation, and the trade that it serves.
desk:
trade:

value:
  # Preference when the mix of work changes: goodput or few_role_changes.
  prefer: goodput
  # Optional: cost of one role change, in on-time answers (0 to 1000000).
  # role_change_price: 5
  # Percentage of the offered work that must still be answered on time during planned changes.
  goodput_floor_percent: 80

# Services provided by language-model engines.
language_services:
  - id:
    # Deadlines of the complete answer and of its first words, in milliseconds after the request.
    answer_within_ms:
    first_words_within_ms:
    longest_prompt_tokens:
    longest_answer_tokens:
    model:
    # adapter:
    version:
    # Whether another engine may continue an answer from the text so far if its engine fails.
    may_continue_on_another_engine: true
    replicas:
      - id:
        address: # IP:PORT
        zone: # availability zone
        # Whether this engine rejects orders with an outdated fencing token.
        checks_fencing:

# Services provided by your own applications, for example bookings.
application_services:
  - id:
    answer_within_ms:
    operations:
      - name:
        method: POST
        path:
        # false for an operation that must run at most once.
        may_be_repeated: false
        # Optional: path for GET requests that return, by idempotency key, whether the operation was run.
        # look_up_path:
    replicas:
      - id:
        address:
        zone:

# Callers and the services that they may use. Print the hash of a key with: apricotarch callers hash
callers:
  - id:
    key_sha256:
    services: []
)";
}

} // namespace apricotarch
