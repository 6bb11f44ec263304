#pragma once

/**
 * @file
 * The operator's configuration as requests see it: routes by host and path, services, and limits for callers.
 */

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// What may be repeated on a route.
enum class RouteKind : std::uint8_t {
    Safe, ///< Idempotent: may run more than once.
    Unsafe, ///< Runs at most once.
    Streaming, ///< A series of events; runs at most once unless the route is resumable.
};

/// A service's part of a route's traffic.
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
    std::chrono::milliseconds timeout{0}; ///< Longest time a caller is kept waiting; 0 for no bound.
    std::chrono::milliseconds targetLatency{0}; ///< To the answer, or to a stream's first event.
    std::chrono::milliseconds targetGap{0}; ///< Longest pause between events.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<ServiceWeight> services; ///< At least one.
    int maxAttempts = 1; ///< Replicas that one request may be sent to.
    bool resumable = false; ///< A stream may be continued at another replica.

    /// Whether a request may run more than once.
    [[nodiscard]] bool idempotent() const noexcept
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
};

/// What the operator says of a service's model engines.
struct EngineSpec
{
    int slots = 1; ///< Requests processed at a time.
    std::int64_t kvTokens = 0; ///< Memory for running requests and cached parts, in tokens.
    double kvBytesPerToken = 0;
    double linkMegabits = 0; ///< Of one engine's link for KV memory, in Mbit/s.
    std::chrono::milliseconds switchTime{3000}; ///< An engine is away this long when its stage changes.
};

/// One service.
struct RoutedService
{
    ServiceId id;
    std::string healthPath;
    std::size_t maxConnections = 0; ///< Of one replica, from all callers together; 0 for no bound.
    std::optional<EngineSpec> engine; ///< Present where the replicas are model engines.
};

/// What a caller may send, and how long it may take.
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

    /// @param version of the configuration
    /// @param routes in any order; of two with the same host and prefix the later one counts
    /// @param services in any order
    RoutingPlan(std::int64_t version, std::vector<Route> routes, std::vector<RoutedService> services, CallerLimits limits);

    /// The configuration's version; 0 for none.
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
     * The route with the longest prefix of a path.
     * @param host in lower case, without a port
     * @param path without a query
     * @return the route, or null where none fits. Linear in the path's length, whatever the number of routes.
     */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /// A service by its id, or null. Constant time.
    [[nodiscard]] const RoutedService *service(const ServiceId &id) const;

private:
    std::int64_t m_version = 0;
    std::vector<Route> m_routes;
    std::unordered_map<std::string, std::size_t> m_byPrefix; ///< Host, newline and prefix to the route's index.
    std::unordered_map<ServiceId, RoutedService> m_services;
    CallerLimits m_limits;
};

} // namespace apricotarch
