#pragma once

/**
 * @file
 * The part of the operator's configuration that applies to requests: routes by host and path, services, customers, and caller limits.
 */

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "apricotarch/base/ids.h"
#include "apricotarch/customers/customer_directory.h"
#include "apricotarch/state/scaling_spec.h"

namespace apricotarch
{

/// Kind of a route, which determines whether its requests may be repeated.
enum class RouteKind : std::uint8_t {
    Safe, ///< Idempotent: may run more than once.
    Unsafe, ///< Runs at most once.
    Streaming, ///< Answered by a stream of events; runs at most once unless the route is resumable.
};

/// Share of a route's traffic for one service.
struct ServiceWeight
{
    ServiceId service;
    int weight = 1; ///< Relative to the route's other weights; not negative.
};

/// One route.
struct Route
{
    std::string name;
    std::string host; ///< In lower case.
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::chrono::milliseconds timeout{0}; ///< Maximum time until the answer; 0 for no limit.
    std::chrono::milliseconds targetLatency{0}; ///< Target time until the answer, or until a stream's first event.
    std::chrono::milliseconds targetGap{0}; ///< Target for the maximum gap between events.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<ServiceWeight> services; ///< At least one.
    int maxAttempts = 1; ///< Maximum number of replicas that one request is sent to.
    bool resumable = false; ///< Whether a stream may be continued at another replica.
    bool isPublic = false; ///< Whether callers need no key.

    /// Returns whether a request may run more than once.
    [[nodiscard]] bool idempotent() const noexcept
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
};

/// Operator's specification of a service's model engines.
struct EngineSpec
{
    int slots = 1; ///< Requests processed at a time.
    std::int64_t kvTokens = 0; ///< KV memory for running requests and cached prefix parts, in tokens.
    double kvBytesPerToken = 0; ///< Size of one token's KV memory.
    double linkMegabits = 0; ///< Bandwidth of one engine's link for KV transfers, in Mbit/s.
    std::chrono::milliseconds stageChangeTime{3000}; ///< How long an engine is unavailable while its stage changes.
};

/// A service that routes refer to.
struct RoutedService
{
    ServiceId id;
    std::string healthPath;
    std::size_t maxConnections = 0; ///< Maximum number of connections to one replica, for all callers together; 0 for no limit.
    std::optional<EngineSpec> engine; ///< Set if the replicas are model engines.
    std::optional<ScalingSpec> scaling; ///< Set if the number of replicas may be changed by orders.
};

/// Limits for the size of callers' requests and for the time to send them.
struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/// One version of the configuration. Immutable once built.
class RoutingPlan
{
public:
    RoutingPlan() = default;

    /**
     * @param version version of the configuration
     * @param routes routes in any order; of several with the same host and prefix the last one applies
     * @param services services in any order
     * @param limits limits for callers
     * @param customers customers with their keys; empty if callers need no keys
     */
    RoutingPlan(std::int64_t version,
        std::vector<Route> routes,
        std::vector<RoutedService> services,
        CallerLimits limits,
        std::optional<CustomerDirectory> customers = std::nullopt);

    /// Returns the configuration's version; 0 if there is no configuration.
    [[nodiscard]] std::int64_t version() const noexcept
    {
        return m_version;
    }

    [[nodiscard]] const CallerLimits &limits() const noexcept
    {
        return m_limits;
    }

    [[nodiscard]] const std::vector<Route> &routes() const noexcept
    {
        return m_routes;
    }

    /**
     * Returns the route with the longest prefix of a path. Linear in the path's length, independent of the number of routes.
     * @param host host in lower case, without a port
     * @param path path without a query
     * @return the route, or null if none matches
     */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /// Returns a service by its id, or null if there is none. Constant time.
    [[nodiscard]] const RoutedService *service(const ServiceId &id) const;

    /// Returns the services whose streams can be resumed, with the longest timeout of their resumable routes; 0 if one of these has none.
    [[nodiscard]] const std::map<ServiceId, std::chrono::milliseconds> &resumableServices() const noexcept
    {
        return m_resumableServices;
    }

    /// Returns the customers, or null if the configuration has none and callers need no keys.
    [[nodiscard]] const CustomerDirectory *customers() const noexcept
    {
        return m_customers ? &*m_customers : nullptr;
    }

private:
    std::int64_t m_version = 0;
    std::vector<Route> m_routes;
    std::unordered_map<std::string, std::size_t> m_byPrefix; ///< Index of the route by host, newline and prefix.
    std::unordered_map<ServiceId, RoutedService> m_services;
    std::map<ServiceId, std::chrono::milliseconds> m_resumableServices; ///< See resumableServices().
    CallerLimits m_limits;
    std::optional<CustomerDirectory> m_customers;
};

} // namespace apricotarch
