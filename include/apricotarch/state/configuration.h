#pragma once

/**
 * @file
 * What operators have decided: services, replicas, callers and the desk's policy. Generated from a questionnaire, never edited.
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

/// What a replica of a language service must have loaded.
struct ModelSpec
{
    std::string model;
    std::string adapter; ///< Empty for none.
    std::string version;

    bool operator==(const ModelSpec &) const = default;
};

/// One backend server.
struct ReplicaSpec
{
    ReplicaId id;
    Endpoint address;
    ZoneId zone;
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing token.

    bool operator==(const ReplicaSpec &) const = default;
};

/// One call of an application service.
struct OperationSpec
{
    std::string name;
    std::string method; ///< HTTP method.
    std::string path; ///< Path at the replica.
    bool idempotent = false; ///< Whether it may be repeated.
    std::string lookupPath; ///< Idempotent look-up by key that settles unknown outcomes; empty for none.

    bool operator==(const OperationSpec &) const = default;
};

/// What a service is made of.
enum class ServiceKind {
    Language,
    Application,
};

/// A named set of replicas and the way they are called.
struct ServiceSpec
{
    ServiceId id;
    ServiceKind kind = ServiceKind::Language;
    std::chrono::milliseconds deadline{0}; ///< For the whole answer, where the caller names none.
    std::chrono::milliseconds firstToken{0}; ///< Language services only: for the first token.
    ModelSpec model; ///< Language services only.
    Tokens maxPrompt; ///< Language services only.
    Tokens maxOutput; ///< Language services only.
    bool continueElsewhere = true; ///< Language services only: whether another engine may go on from the text so far.
    std::vector<OperationSpec> operations; ///< Application services only.
    std::vector<ReplicaSpec> replicas;

    bool operator==(const ServiceSpec &) const = default;
};

/// Who may call.
struct CallerSpec
{
    CallerId id;
    std::string keySha256; ///< SHA-256 of the caller's key, in hexadecimal.
    std::vector<ServiceId> services;

    bool operator==(const CallerSpec &) const = default;
};

/// How the desk weighs what it measures.
struct DeskPolicy
{
    double roleChangePrice = 0; ///< On-time answers that one role change costs.
    double goodputFloor = 0; ///< Share of offered work, 0 to 1, below which no planned change may push goodput.

    bool operator==(const DeskPolicy &) const = default;
};

/// One whole configuration.
struct Configuration
{
    std::string desk;
    DeskPolicy policy;
    std::vector<ServiceSpec> services;
    std::vector<CallerSpec> callers;

    /// The service of that id, or nullptr. Linear in the number of services.
    [[nodiscard]] const ServiceSpec *service(const ServiceId &id) const noexcept;

    /// The caller whose key has that hash, or nullptr. Linear in the number of callers.
    [[nodiscard]] const CallerSpec *callerByKey(std::string_view keySha256) const noexcept;

    bool operator==(const Configuration &) const = default;
};

/// Whether a caller may use a service.
[[nodiscard]] bool answers(const CallerSpec &caller, const ServiceId &service) noexcept;

/// A process whose word counts when a configuration is offered. A restarted process is another elector.
struct Elector
{
    NodeId node;
    Incarnation incarnation;

    auto operator<=>(const Elector &) const = default;
};

/// The row that says which configuration is in force.
struct ConfigurationRow
{
    ConfigurationVersion version;
    Digest digest; ///< Names the body in the object store.
    std::vector<Elector> electorate; ///< Processes of which a majority has to hold the next body before it is accepted.
    AttemptId attempt;

    bool operator==(const ConfigurationRow &) const = default;
};

/// A row together with its version in the table; the version is the configuration's epoch.
struct CommittedConfiguration
{
    RowVersion epoch;
    ConfigurationRow row;

    bool operator==(const CommittedConfiguration &) const = default;
};

} // namespace apricotarch
