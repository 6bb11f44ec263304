#include "apricotarch/state/routing_plan.h"

#include <algorithm>
#include <utility>

namespace apricotarch
{

namespace
{

std::string lookupKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    key += host;
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

RoutingPlan::RoutingPlan(std::int64_t version,
    std::vector<Route> routes,
    std::vector<RoutedService> services,
    CallerLimits limits,
    std::optional<CustomerDirectory> customers)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_customers(std::move(customers))
{
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        m_byPrefix[lookupKey(m_routes[index].host, m_routes[index].prefix)] = index;
    }
    for (const Route &route : m_routes) {
        if (!route.resumable) {
            continue;
        }
        for (const ServiceWeight &weight : route.services) {
            const auto [entry, added] = m_resumableServices.try_emplace(weight.service, route.timeout);
            const bool hasNoTimeout = entry->second.count() == 0 || route.timeout.count() == 0;
            entry->second = hasNoTimeout ? std::chrono::milliseconds::zero() : std::max(entry->second, route.timeout);
        }
    }
    for (RoutedService &service : services) {
        ServiceId id = service.id;
        m_services.insert_or_assign(std::move(id), std::move(service));
    }
}

const Route *RoutingPlan::find(std::string_view host, std::string_view path) const
{
    // Every route prefix ends with a slash, so only the prefixes of the path that end with a slash are looked up.
    std::string key = lookupKey(host, path);
    const std::size_t pathStart = host.size() + 1;
    for (std::size_t slash = key.rfind('/'); slash != std::string::npos && slash >= pathStart; slash = key.rfind('/')) {
        key.resize(slash + 1);
        if (const auto found = m_byPrefix.find(key); found != m_byPrefix.end()) {
            return &m_routes[found->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

const RoutedService *RoutingPlan::service(const ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace apricotarch
