#pragma once

/**
 * @file
 * Configuration of an installation: services, replicas, callers and the policy for role changes. It is generated from a
 * questionnaire and never edited by hand.
 */

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Model, adapter and version that a replica of a language service has to have loaded.
struct ModelSpec
{
    std::string model;
    std::string adapter; ///< Empty for the model without an adapter.
    std::string version;

    bool operator==(const ModelSpec &) const = default;
};

/// One backend server of a service.
struct ReplicaSpec
{
    ReplicaId id;
    Endpoint address;
    ZoneId zone;
    bool checksFencing = false; ///< Whether it rejects an order with an outdated fencing token.

    bool operator==(const ReplicaSpec &) const = default;
};

/// One operation that callers can invoke at an application service.
struct OperationSpec
{
    std::string name;
    std::string method; ///< HTTP method.
    std::string path; ///< Request path at the replica.
    bool idempotent = false; ///< Whether a request may be sent more than once.
    std::string lookupPath; ///< Path of an idempotent look-up by idempotency key, which resolves unknown outcomes; empty for none.

    bool operator==(const OperationSpec &) const = default;
};

/// Kind of backend servers that a service consists of.
enum class ServiceKind {
    Language, ///< Language-model engines.
    Application, ///< The installation's own HTTP applications.
};

/// A service: its replicas, its operations and its limits.
struct ServiceSpec
{
    ServiceId id;
    ServiceKind kind = ServiceKind::Language;
    std::chrono::milliseconds deadline{0}; ///< Deadline of the complete answer if the caller sets none.
    std::chrono::milliseconds firstToken{0}; ///< Language services only: deadline of the first token.
    ModelSpec model; ///< Language services only.
    Tokens maxPrompt; ///< Language services only: longest prompt.
    Tokens maxOutput; ///< Language services only: longest answer.
    bool continueElsewhere = true; ///< Language services only: whether another engine may continue an interrupted answer.
    std::vector<OperationSpec> operations; ///< Application services only.
    std::vector<ReplicaSpec> replicas;

    bool operator==(const ServiceSpec &) const = default;
};

/// A caller and the services that it may use.
struct CallerSpec
{
    CallerId id;
    std::string keySha256; ///< SHA-256 of the caller's key, in hexadecimal.
    std::vector<ServiceId> services;

    bool operator==(const CallerSpec &) const = default;
};

/// Cost and limit of planned role changes of engines.
struct RoleChangePolicy
{
    double roleChangePrice = 0; ///< Cost of one role change, in on-time answers.
    double goodputFloor = 0; ///< Share of the offered work, 0 to 1, below which a planned change must not reduce goodput.

    bool operator==(const RoleChangePolicy &) const = default;
};

/// One complete configuration.
struct Configuration
{
    std::string installation;
    RoleChangePolicy policy;
    std::vector<ServiceSpec> services;
    std::vector<CallerSpec> callers;

    /// Returns the service with an id, or nullptr. Linear in the number of services.
    [[nodiscard]] const ServiceSpec *service(const ServiceId &id) const noexcept;

    /// Returns the caller whose key has a hash, or nullptr. Linear in the number of callers.
    [[nodiscard]] const CallerSpec *callerByKey(std::string_view keySha256) const noexcept;

    bool operator==(const Configuration &) const = default;
};

/// Returns whether a caller may use a service.
[[nodiscard]] bool mayUse(const CallerSpec &caller, const ServiceId &service) noexcept;

/// A process that votes on an offered configuration. After a restart, a process counts as a different elector.
struct Elector
{
    NodeId node;
    Incarnation incarnation;

    auto operator<=>(const Elector &) const = default;
};

/// The stored row that names the configuration in force.
struct ConfigurationRow
{
    ConfigurationVersion version;
    Digest digest; ///< Name of the configuration body in the object store.
    std::vector<Elector> electorate; ///< Processes of which a majority must hold the next configuration body before it is accepted.
    WriteAttemptId attempt;

    bool operator==(const ConfigurationRow &) const = default;
};

/// A configuration row together with its version in the table, which is the configuration's epoch.
struct CommittedConfiguration
{
    StorePosition epoch;
    ConfigurationRow row;

    bool operator==(const CommittedConfiguration &) const = default;
};

} // namespace apricotarch
